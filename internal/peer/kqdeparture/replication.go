package kqdeparture

import (
	"context"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// HeldByStore means that the store holds the departure, so that it outlives the end of
	// all processes.
	HeldByStore Holder = "store"
	// HeldByPeers means that minPeers peers hold the departure and the store may not.
	HeldByPeers Holder = "peers"
	// HeldByNone means that only this node is known to hold the departure.
	HeldByNone Holder = "none"
)

type (
	// Holder tells who, apart from the node that sent it, holds a departure.
	Holder string

	// replication is the state of one departure's replication. It is safe for concurrent
	// use.
	replication struct {
		// stored is closed once the store holds the departure, and replicated once
		// minPeers peers do.
		stored, replicated chan struct{}

		mu      sync.Mutex
		sending bool
		holders map[kqname.Address]bool
	}
)

func newReplication() *replication {
	return &replication{stored: make(chan struct{}), replicated: make(chan struct{}), holders: make(map[kqname.Address]bool)}
}

// await returns who holds the departure, at the latest when ctx ends. Within storeTimeout it
// waits for the store alone.
func (r *replication) await(ctx context.Context, storeTimeout time.Duration) Holder {
	timer := time.NewTimer(storeTimeout)
	defer timer.Stop()
	select {
	case <-r.stored:
		return HeldByStore
	case <-timer.C:
	case <-ctx.Done():
	}
	select {
	case <-r.stored:
		return HeldByStore
	case <-r.replicated:
		return HeldByPeers
	case <-ctx.Done():
		return HeldByNone
	}
}

// beginSending reports whether the departure is to be sent to peers, which too few hold and
// nobody else is sending it to. The caller must call endSending afterwards.
func (r *replication) beginSending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sending || len(r.holders) >= minPeers {
		return false
	}
	r.sending = true
	return true
}

func (r *replication) endSending() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sending = false
}

// addHolder records that a peer holds the departure.
func (r *replication) addHolder(peer kqname.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := len(r.holders)
	r.holders[peer] = true
	if known < minPeers && len(r.holders) == minPeers {
		close(r.replicated)
	}
}
