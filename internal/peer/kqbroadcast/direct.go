package kqbroadcast

import (
	"context"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// SendDirect sends a message to the given nodes only, which do not forward it. It does
// not wait for them. A node to which an earlier direct message is still in flight is
// skipped and the drop is counted, so that each slow node causes at most one message to
// be held in memory. Use it only if a later message makes a dropped one obsolete.
func (b *Broadcaster) SendDirect(ctx context.Context, t Topic, payload []byte, to []kqname.Address) {
	m := message{From: b.self, Topic: t, Payload: payload}
	for _, address := range to {
		if !b.tryAcquire(address) {
			b.onDrop()
			continue
		}
		b.send(func() { b.release(address) }, func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
			defer cancel()
			_, _ = kqrpc.Call[message, empty](ctx, b.client, address, methodDirect, m)
		})
	}
}

// tryAcquire marks a peer as busy and reports whether it was free.
func (b *Broadcaster) tryAcquire(to kqname.Address) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy[to] {
		return false
	}
	b.busy[to] = true
	return true
}

// release marks a peer as free again.
func (b *Broadcaster) release(to kqname.Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.busy, to)
}

// deliver passes a message to the local receivers of its topic.
func (b *Broadcaster) deliver(m message) {
	b.mu.Lock()
	receivers := b.receivers[m.Topic]
	b.mu.Unlock()
	for _, r := range receivers {
		r(m.From, m.Payload)
	}
}
