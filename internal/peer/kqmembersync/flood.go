package kqmembersync

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodUpdates = "m.n"
	// batchDelay is how long the flood waits, so that records which change at about
	// the same time share one message per link.
	batchDelay = 20 * time.Millisecond
	maxBatch   = 64
	// maxQueue bounds the queued records. The queue holds one record per node, so
	// only a fleet of this size could fill it.
	maxQueue = 4096
)

type (
	// updates holds changed records. The receiver does not forward Quiet ones.
	updates struct {
		Members []kqmember.Member `cbor:"1,keyasint"`
		Quiet   bool              `cbor:"2,keyasint,omitempty"`
	}

	empty struct{}
)

// mergeUpdates merges a peer's records and queues those that changed this table, so
// that every record crosses each link about once and the flood ends by itself.
func (e *Synchronizer) mergeUpdates(_ context.Context, _ kqname.Node, q updates) (empty, error) {
	for _, m := range q.Members {
		if !e.table.Merge(m) || q.Quiet {
			continue
		}
		if now, ok := e.table.Find(m.Node); ok {
			e.enqueue(now)
		}
	}
	return empty{}, nil
}

// enqueue queues a record for the flood, replacing an older one of the same node.
// If the queue is full, the record is dropped and left to comparisons.
func (e *Synchronizer) enqueue(m kqmember.Member) {
	e.mu.Lock()
	if _, ok := e.queue[m.Node]; ok || len(e.queue) < maxQueue {
		e.queue[m.Node] = m
	}
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// dequeue removes and returns at most limit queued records.
func (e *Synchronizer) dequeue(limit int) []kqmember.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	var batch []kqmember.Member
	for n, m := range e.queue {
		if len(batch) == limit {
			break
		}
		batch = append(batch, m)
		delete(e.queue, n)
	}
	return batch
}

// floodQueue sends queued records to the neighbours in batches, within the budget,
// until ctx ends.
func (e *Synchronizer) floodQueue(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
		wait := batchDelay
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
			if wait = e.budget.Delay(time.Now()); wait > 0 {
				continue
			}
			batch := e.dequeue(maxBatch)
			if len(batch) == 0 {
				break
			}
			e.send(ctx, batch)
			wait = batchDelay
		}
	}
}

// send sends a batch to all neighbours and waits until each has answered or
// callTimeout has passed.
func (e *Synchronizer) send(ctx context.Context, batch []kqmember.Member) {
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	for _, to := range e.overlay.Neighbours() {
		group.Go(func() {
			// The error is ignored: a comparison repairs what a peer has missed.
			_, _ = kqrpc.Call[updates, empty](ctx, e.client, to.Control, methodUpdates, updates{Members: batch})
		})
	}
}
