package kqbroadcast

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// maxBatchBytes bounds the total size of the payloads in one frame.
const maxBatchBytes = 256 << 10

// Run forwards queued messages to the neighbours until ctx ends.
func (s *Broadcaster) Run(ctx context.Context) {
	defer s.sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(batchDelay):
		}
		for batch := s.batch(); len(batch) > 0; batch = s.batch() {
			kqsupervisor.From(ctx).RunRecovered("spread", func() { s.flood(ctx, batch) })
		}
	}
}

// batch dequeues the next messages from the queue: at least one if there is
// any, and otherwise as many as fit in maxBatchBytes.
func (s *Broadcaster) batch() []message {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, n := 0, 0
	for n < len(s.queue) && (n == 0 || size+len(s.queue[n].Payload) <= maxBatchBytes) {
		size += len(s.queue[n].Payload)
		n++
	}
	batch := slices.Clone(s.queue[:n])
	s.queue = slices.Delete(s.queue, 0, n)
	s.queuedBytes -= size
	return batch
}

// flood offers a batch to all neighbours and waits until each has answered or
// sendTimeout has passed.
func (s *Broadcaster) flood(ctx context.Context, batch []message) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var ids offer
	for _, m := range batch {
		ids.IDs = append(ids.IDs, m.ID)
	}
	var group conc.WaitGroup
	defer group.Wait()
	for _, to := range s.overlay.Neighbours() {
		group.Go(func() { s.sendTo(ctx, to.Control, ids, batch) })
	}
}

// sendTo offers the ids of a batch to a peer and sends the messages that it lacks.
// Failures are ignored: the peer's other neighbours offer it the same messages.
func (s *Broadcaster) sendTo(ctx context.Context, to kqname.Address, ids offer, batch []message) {
	missing, err := kqrpc.Call[offer, offer](ctx, s.client, to, methodOffer, ids)
	if err != nil || len(missing.IDs) == 0 {
		return
	}
	var d delivery
	for _, m := range batch {
		if slices.Contains(missing.IDs, m.ID) {
			d.Messages = append(d.Messages, m)
		}
	}
	_, _ = kqrpc.Call[delivery, empty](ctx, s.client, to, methodDeliver, d)
}
