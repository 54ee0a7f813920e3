package kqnode

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// isEvacuated reports whether the node's own failure domain is evacuated.
func (n *Node) isEvacuated() bool {
	return slices.Contains(n.replica.Current().Evacuated(), n.settings.Node.Domain)
}

// adoptEvacuations logs which evacuations have begun and ended. If the node's own failure
// domain is evacuated, it refuses the calls that wait for the local upstream.
func (n *Node) adoptEvacuations(domains []kqname.Domain, now time.Time) {
	n.evacuationMu.Lock()
	before := n.evacuated
	n.evacuated = domains
	n.evacuationMu.Unlock()
	if slices.Equal(before, domains) {
		return
	}
	n.metrics.SetEvacuated(len(domains))
	n.logEvacuations("evacuated", "Failure domain is evacuated.", domains, before)
	n.logEvacuations("evacuation_ended", "Failure domain is no longer evacuated.", before, domains)
	if slices.Contains(domains, n.settings.Node.Domain) {
		n.gate.Sweep(now)
	}
}

// logEvacuations logs the event for each of the domains that others lacks.
func (n *Node) logEvacuations(event, text string, domains, others []kqname.Domain) {
	for _, domain := range domains {
		if !slices.Contains(others, domain) {
			n.logger.Part("config").WithFields(logrus.Fields{"event": event, "domain": domain}).Info(text)
		}
	}
}
