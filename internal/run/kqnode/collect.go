package kqnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
)

const (
	// collectEvery is the mean time between two collections by one node with an
	// admin server.
	collectEvery = time.Hour
	// collectAge is how long a replaced version's objects are kept at least.
	collectAge = 24 * time.Hour
)

// collect takes old objects off the platform now and then. Without it the
// ledger of commits would come to the platform's bound on a value within weeks,
// and operators could commit no more. Only nodes with an admin server do it, so
// that the platform's load does not grow with the fleet; several at once do no
// harm. The time is drawn, so that nodes which start together do not meet.
func (n *Node) collect(ctx context.Context) {
	if n.admin == nil {
		return
	}
	log := n.logger.Part("collect")
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(rand.N(2 * collectEvery)):
		}
		done, err := kqcommit.New(n.store).Collect(ctx, n.store, time.Now().Add(-collectAge))
		if err != nil {
			log.WithError(err).Warn("Collected in part or not at all; the next time goes on.")
			continue
		}
		log.Infof("Collected %d objects of %d versions.", done.Objects, done.Roots)
	}
}
