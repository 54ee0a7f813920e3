package kqnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
)

const (
	// collectPeriod is the mean time between two collections by one node with an
	// admin server.
	collectPeriod = time.Hour
	// collectMinAge is the minimum time for which a replaced version's objects are kept.
	collectMinAge = 24 * time.Hour
)

// collect periodically deletes old objects from the platform. Without it the index of
// commit intents would reach the platform's limit on a value's size within weeks, and every
// further commit would fail. Only nodes with an admin server collect, so that the
// platform's load does not grow with the fleet; concurrent collections are harmless.
// The pause is random, so that nodes which start together collect at different times.
func (n *Node) collect(ctx context.Context) {
	if n.admin == nil {
		return
	}
	log := n.logger.Part("collect")
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(rand.N(2 * collectPeriod)):
		}
		done, err := kqcommit.New(n.store).CollectGarbage(ctx, n.store, time.Now().Add(-collectMinAge))
		if err != nil {
			log.WithError(err).Warn("Collection failed or is incomplete; the next one continues.")
			continue
		}
		log.Infof("Collected %d objects of %d versions.", done.Objects, done.Roots)
	}
}
