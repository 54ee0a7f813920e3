package kqnode

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/config/kqfetch"
	"github.com/kumquatgw/kumquatgw/internal/config/kqlag"
)

// slowVersion is the time behind a newer version from which a node logs what it waited for.
const slowVersion = 500 * time.Millisecond

// recordLag counts how long the node was behind a newer version, and logs the steps if that
// was long.
func (n *Node) recordLag(r kqlag.Report) {
	n.metrics.ConfigLagged(r.Behind)
	if r.Behind < slowVersion {
		return
	}
	n.logger.Part("config").WithFields(logrus.Fields{
		"event": "late", "version": r.Version, "behind_ms": r.Behind.Milliseconds(), "skipped": r.Skipped,
		"root_after_ms": r.RootAfter.Milliseconds(), "root_from": r.RootFrom, "failed_pulls": r.FailedPulls,
		"failed_fetches": r.FailedFetches, "superseded_fetches": r.SupersededFetches,
	}).Info("Version came into force late.")
}

func (n *Node) logSlowFetch(t kqfetch.Timing) {
	entry := n.logger.Part("config").WithFields(logrus.Fields{
		"event": "slow_fetch", "wanted": t.Wanted, "took_ms": t.Took.Milliseconds(), "queued_ms": t.Queued.Milliseconds(),
		"peers_ms": t.Peers.Milliseconds(), "platform_ms": t.Platform.Milliseconds(), "busy_peers": t.BusyPeers,
	})
	if t.Err != nil {
		entry = entry.WithError(t.Err)
	}
	entry.Info("Fetch of configuration objects was slow.")
}
