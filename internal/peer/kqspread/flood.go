package kqspread

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqkeeper"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// batchBytes bounds the payloads of one frame.
const batchBytes = 256 << 10

// Run passes messages on until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
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
		case <-time.After(gather):
		}
		for batch := s.batch(); len(batch) > 0; batch = s.batch() {
			kqkeeper.From(ctx).Try("spread", func() { s.flood(ctx, batch) })
		}
	}
}

func (s *Spreader) batch() []message {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, n := 0, 0
	for n < len(s.queue) && (n == 0 || size+len(s.queue[n].Payload) <= batchBytes) {
		size += len(s.queue[n].Payload)
		n++
	}
	batch := slices.Clone(s.queue[:n])
	s.queue = slices.Delete(s.queue, 0, n)
	s.queued -= size
	return batch
}

func (s *Spreader) flood(ctx context.Context, batch []message) {
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

// sendTo offers a batch to a peer and sends what it lacks. A peer that missed it
// is offered the same by its other neighbours.
func (s *Spreader) sendTo(ctx context.Context, to kqname.Address, ids offer, batch []message) {
	lacks, err := kqpeer.Call[offer, offer](ctx, s.client, to, methodOffer, ids)
	if err != nil || len(lacks.IDs) == 0 {
		return
	}
	var d delivery
	for _, m := range batch {
		if slices.Contains(lacks.IDs, m.ID) {
			d.Messages = append(d.Messages, m)
		}
	}
	_, _ = kqpeer.Call[delivery, nothing](ctx, s.client, to, methodDeliver, d)
}
