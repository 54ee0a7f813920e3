package kqexchange

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodNews = "m.n"
	// flushPause gathers what is news at the same time into one message a link.
	flushPause = 20 * time.Millisecond
	flushMost  = 64
	// maxQueue bounds the records that wait; the newest of each node waits, so
	// it takes a fleet of this size to reach it.
	maxQueue = 4096
)

type (
	// news is records that changed. Quiet ones are not passed on.
	news struct {
		Members []kqmember.Member `cbor:"1,keyasint"`
		Quiet   bool              `cbor:"2,keyasint,omitempty"`
	}

	nothing struct{}
)

// takeNews merges a peer's news; what is news here too floods on, so that every
// record crosses each link about once and the flood ends by itself.
func (e *Exchanger) takeNews(_ context.Context, _ kqname.Node, q news) (nothing, error) {
	for _, m := range q.Members {
		if !e.table.Merge(m) || q.Quiet {
			continue
		}
		if now, ok := e.table.Find(m.Node); ok {
			e.enqueue(now)
		}
	}
	return nothing{}, nil
}

func (e *Exchanger) enqueue(m kqmember.Member) {
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

func (e *Exchanger) take(most int) []kqmember.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	var batch []kqmember.Member
	for n, m := range e.queue {
		if len(batch) == most {
			break
		}
		batch = append(batch, m)
		delete(e.queue, n)
	}
	return batch
}

func (e *Exchanger) flush(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
		wait := flushPause
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
			if wait = e.budget.Allow(time.Now()); wait > 0 {
				continue
			}
			batch := e.take(flushMost)
			if len(batch) == 0 {
				break
			}
			e.send(ctx, batch)
			wait = flushPause
		}
	}
}

func (e *Exchanger) send(ctx context.Context, batch []kqmember.Member) {
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	for _, to := range e.overlay.Neighbours() {
		group.Go(func() {
			// A peer that missed it finds the difference when it compares.
			_, _ = kqpeer.Call[news, nothing](ctx, e.client, to.Control, methodNews, news{Members: batch})
		})
	}
}
