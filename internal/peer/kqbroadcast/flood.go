package kqbroadcast

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// maxBatchBytes bounds the total size of the payloads in one frame.
const maxBatchBytes = 256 << 10

// Run floods queued messages to the neighbours until ctx ends, and then waits for the
// direct and urgent messages in flight.
func (b *Broadcaster) Run(ctx context.Context) {
	b.setStopping(false)
	defer b.sending.Wait()
	defer b.setStopping(true)
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(batchDelay):
		}
		for nextBatch := b.nextBatch(); len(nextBatch) > 0; nextBatch = b.nextBatch() {
			kqsupervisor.From(ctx).RunRecovered("spread", func() { b.flood(ctx, nextBatch) })
		}
	}
}

// nextBatch removes and returns the next messages of the queue: as many as fit in
// maxBatchBytes, and at least one unless the queue is empty.
func (b *Broadcaster) nextBatch() []message {
	b.mu.Lock()
	defer b.mu.Unlock()
	size, n := 0, 0
	for n < len(b.queue) && (n == 0 || size+len(b.queue[n].Payload) <= maxBatchBytes) {
		size += len(b.queue[n].Payload)
		n++
	}
	nextBatch := slices.Clone(b.queue[:n])
	b.queue = slices.Delete(b.queue, 0, n)
	b.queuedBytes -= size
	return nextBatch
}

// flood offers a batch to all neighbours, sends each the messages that it lacks, and
// waits until all have answered or sendTimeout has passed.
func (b *Broadcaster) flood(ctx context.Context, batch []message) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var ids idList
	for _, m := range batch {
		ids.IDs = append(ids.IDs, m.ID)
	}
	var group conc.WaitGroup
	defer group.Wait()
	for _, to := range b.overlay.Neighbours() {
		group.Go(func() { b.sendTo(ctx, to.Control, ids, batch) })
	}
}

// floodUrgent sends a message to all neighbours but the node it is from, without waiting for
// them, and returns their confirmation. It returns nil if too many urgent messages are in flight.
func (b *Broadcaster) floodUrgent(m message, from kqname.Node) *confirmation {
	neighbours := slices.DeleteFunc(slices.Clone(b.overlay.Neighbours()), func(n kqmember.Member) bool { return n.Node == from })
	if b.urgent.Add(int64(len(neighbours))) > maxUrgent {
		b.urgent.Add(-int64(len(neighbours)))
		return nil
	}
	// One more is counted until all have begun.
	c := b.beginConfirming(m.ID, len(neighbours)+1)
	for _, to := range neighbours {
		delivered := sync.OnceFunc(func() { b.urgent.Add(-1) })
		confirmed := sync.OnceFunc(func() { b.confirmOne(m.ID, c) })
		b.send(func() {
			delivered()
			confirmed()
		}, func() { b.deliverUrgent(to, m, delivered, confirmed) })
	}
	b.confirmOne(m.ID, c)
	return c
}

// send runs f in the background, unless Run is stopping, and then done.
func (b *Broadcaster) send(done, f func()) {
	b.mu.Lock()
	isStopping := b.isStopping
	if !isStopping {
		b.sending.Go(func() {
			defer done()
			f()
		})
	}
	b.mu.Unlock()
	if isStopping {
		done()
	}
}

func (b *Broadcaster) setStopping(stopping bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isStopping = stopping
}

func (b *Broadcaster) stopping() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isStopping
}

// sendTo offers the ids of a batch to a peer and sends the messages that it lacks.
// Failures are ignored: the peer's other neighbours offer it the same messages.
func (b *Broadcaster) sendTo(ctx context.Context, to kqname.Address, ids idList, batch []message) {
	missing, err := kqrpc.Call[idList, idList](ctx, b.client, to, methodOffer, ids)
	if err != nil || len(missing.IDs) == 0 {
		return
	}
	var d delivery
	for _, m := range batch {
		if slices.Contains(missing.IDs, m.ID) {
			d.Messages = append(d.Messages, m)
		}
	}
	_, _ = kqrpc.Call[delivery, empty](ctx, b.client, to, methodDeliver, d)
}
