package kqmembersync

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodUpdates = "m.n"
	// batchDelay is how long the flood waits, so that records which change at about
	// the same time share one message per link.
	batchDelay = 20 * time.Millisecond
	// maxBatch bounds the records in one message.
	maxBatch = 64
	// maxQueue bounds the queued records, and those that wait for one neighbour. Both
	// hold one record per node, so only a fleet of this size could fill them.
	maxQueue = 4096
)

type (
	// updates holds changed records. The receiver forwards them unless NoForward
	// is set.
	updates struct {
		Members   []kqmember.Member `cbor:"1,keyasint"`
		NoForward bool              `cbor:"2,keyasint,omitempty"`
	}

	empty struct{}

	// link holds the records that wait for a neighbour while a message to it is in flight.
	link struct {
		waiting map[kqname.Node]kqmember.Member
		busy    bool
	}
)

// mergeUpdates merges a peer's records and queues those that changed this table, so
// that every record crosses each link about once and the flood ends by itself.
func (s *Synchronizer) mergeUpdates(_ context.Context, _ kqname.Node, q updates) (empty, error) {
	for _, m := range q.Members {
		if !s.table.Merge(m) || q.NoForward {
			continue
		}
		if current, ok := s.table.Find(m.Node); ok {
			s.enqueue(current)
		}
	}
	return empty{}, nil
}

// enqueue queues a record for the flood, replacing an older one of the same node.
// If the queue is full, the record is dropped; peers then get it through a later
// comparison of tables.
func (s *Synchronizer) enqueue(m kqmember.Member) {
	s.mu.Lock()
	if _, ok := s.queue[m.Node]; ok || len(s.queue) < maxQueue {
		s.queue[m.Node] = m
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// dequeue removes and returns at most limit queued records.
func (s *Synchronizer) dequeue(limit int) []kqmember.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []kqmember.Member
	for n, m := range s.queue {
		if len(batch) == limit {
			break
		}
		batch = append(batch, m)
		delete(s.queue, n)
	}
	return batch
}

// floodQueue sends queued records to the neighbours in batches, within the budget,
// until ctx ends.
func (s *Synchronizer) floodQueue(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		wait := batchDelay
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
			if wait = s.budget.Delay(time.Now()); wait > 0 {
				continue
			}
			batch := s.dequeue(maxBatch)
			if len(batch) == 0 {
				break
			}
			s.forward(ctx, batch)
			wait = batchDelay
		}
	}
}

// forward sends a batch to all neighbours. Records for a neighbour that has not answered the
// last message wait for it alone: otherwise one that has lost power would delay every flood
// by callTimeout on each hop, and just after many servers died nobody would learn who serves.
func (s *Synchronizer) forward(ctx context.Context, batch []kqmember.Member) {
	for _, to := range s.overlay.Neighbours() {
		s.mu.Lock()
		l, ok := s.links[to.Node]
		if !ok {
			l = &link{waiting: make(map[kqname.Node]kqmember.Member)}
			s.links[to.Node] = l
		}
		for _, m := range batch {
			if _, ok := l.waiting[m.Node]; ok || len(l.waiting) < maxQueue {
				l.waiting[m.Node] = m
			}
		}
		start := !l.busy
		l.busy = true
		s.mu.Unlock()
		if start {
			s.group.Go(func() {
				kqsupervisor.From(ctx).RunRecovered("news", func() { s.sendWaiting(ctx, to, l) })
			})
		}
	}
}

// sendWaiting sends the records that wait for a neighbour, until there are none.
func (s *Synchronizer) sendWaiting(ctx context.Context, to kqmember.Member, l *link) {
	for {
		batch := s.takeWaiting(to.Node, l)
		if len(batch) == 0 {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		// The error is ignored: a later comparison of tables repairs what a peer has missed.
		_, _ = kqrpc.Call[updates, empty](callCtx, s.client, to.Control, methodUpdates, updates{Members: batch})
		cancel()
	}
}

// takeWaiting removes and returns at most maxBatch of the records that wait for a neighbour.
// If there are none, it removes the link.
func (s *Synchronizer) takeWaiting(n kqname.Node, l *link) []kqmember.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []kqmember.Member
	for node, m := range l.waiting {
		if len(batch) == maxBatch {
			break
		}
		batch = append(batch, m)
		delete(l.waiting, node)
	}
	if len(batch) == 0 {
		l.busy = false
		delete(s.links, n)
	}
	return batch
}

// send sends a batch, unless it is empty, to all neighbours and waits until each has
// answered or failed, or callTimeout has passed.
func (s *Synchronizer) send(ctx context.Context, batch []kqmember.Member) {
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	for _, to := range s.overlay.Neighbours() {
		group.Go(func() {
			// The error is ignored: a later comparison of tables repairs what a peer has missed.
			_, _ = kqrpc.Call[updates, empty](ctx, s.client, to.Control, methodUpdates, updates{Members: batch})
		})
	}
}
