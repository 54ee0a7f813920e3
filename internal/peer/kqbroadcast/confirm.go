package kqbroadcast

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodConfirm = "s.c"

	// MaxConfirmTime is the longest time that an urgent message takes to be confirmed, or to
	// be given up.
	MaxConfirmTime = time.Second
	// minConfirmTime is the least time for which a node waits for its neighbours.
	minConfirmTime = 10 * time.Millisecond
	// A neighbour is asked again after firstAskPause, doubled up to maxAskPause. Its answer could
	// be held back instead, but a connection carries one request at a time, so that heartbeats
	// would wait behind it.
	firstAskPause = 3 * time.Millisecond
	maxAskPause   = 20 * time.Millisecond
	// maxAwaited bounds the neighbours' confirmations that are awaited at once. Further ones count
	// as given.
	maxAwaited = 256
	// maxUnconfirming bounds the neighbours that are not waited for. Neighbours change as
	// members come and go.
	maxUnconfirming = 256
)

type (
	// acknowledgement answers a delivery or a question for confirmations. A message that is not
	// pending has been confirmed by the receiver's neighbours, or given up, or is a duplicate.
	acknowledgement struct {
		Pending []messageID `cbor:"1,keyasint,omitempty"`
	}

	// confirmation counts the neighbours that have not confirmed a message yet. done is closed
	// when there are none.
	confirmation struct {
		open atomic.Int64
		done chan struct{}
	}
)

// confirmTimeOfNext returns how long the receiver of a message waits for its own neighbours if
// this node waits for the given time. It is shorter, so that the node next to an unreachable one
// gives up first, and the nodes before it still get its answer.
func confirmTimeOfNext(d time.Duration) time.Duration { return d * 3 / 4 }

// beginConfirming registers a message whose confirmations by n neighbours are awaited.
func (b *Broadcaster) beginConfirming(id messageID, n int) *confirmation {
	c := &confirmation{done: make(chan struct{})}
	c.open.Store(int64(n))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirming[id] = c
	return c
}

// confirmOne records that a neighbour has confirmed a message, or is not waited for any more.
func (b *Broadcaster) confirmOne(id messageID, c *confirmation) {
	if c.open.Add(-1) > 0 {
		return
	}
	b.mu.Lock()
	delete(b.confirming, id)
	b.mu.Unlock()
	close(c.done)
}

// pending returns those of the messages that wait for confirmations.
func (b *Broadcaster) pending(ids ...messageID) acknowledgement {
	b.mu.Lock()
	defer b.mu.Unlock()
	var a acknowledgement
	for _, id := range ids {
		if b.confirming[id] != nil {
			a.Pending = append(a.Pending, id)
		}
	}
	return a
}

// awaitsConfirmation reports whether a neighbour is waited for. One that let a message's time pass is
// not until it confirms one, so that an unreachable one holds up the callers of one message only.
func (b *Broadcaster) awaitsConfirmation(m kqmember.Member) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return m.State == kqmember.Alive && !b.unconfirming[m.Node]
}

func (b *Broadcaster) setUnconfirming(n kqname.Node, unconfirming bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !unconfirming {
		delete(b.unconfirming, n)
		return
	}
	if len(b.unconfirming) >= maxUnconfirming {
		clear(b.unconfirming)
	}
	b.unconfirming[n] = true
}

// deliverUrgent sends an urgent message to a neighbour and waits for its confirmation. It calls
// delivered once the neighbour has the message or cannot get it, and confirmed once it has
// confirmed or the message's time has passed.
func (b *Broadcaster) deliverUrgent(to kqmember.Member, m message, delivered, confirmed func()) {
	wait := m.ConfirmWithin
	m.ConfirmWithin = confirmTimeOfNext(wait)
	confirmed = sync.OnceFunc(confirmed)
	defer confirmed()
	if wait > 0 {
		if !b.awaitsConfirmation(to) {
			confirmed()
		}
		timer := time.AfterFunc(wait, func() {
			b.setUnconfirming(to.Node, true)
			confirmed()
		})
		defer timer.Stop()
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	answer, err := kqrpc.Call[delivery, acknowledgement](ctx, b.client, to.Control, methodDeliver, delivery{[]message{m}})
	delivered()
	for pause := firstAskPause; err == nil && slices.Contains(answer.Pending, m.ID) && time.Since(began) < wait; pause = min(2*pause, maxAskPause) {
		if b.awaited.Add(1) > maxAwaited || b.stopping() {
			b.awaited.Add(-1)
			return
		}
		time.Sleep(pause)
		answer, err = kqrpc.Call[idList, acknowledgement](ctx, b.client, to.Control, methodConfirm, idList{[]messageID{m.ID}})
		b.awaited.Add(-1)
	}
	if err == nil && !slices.Contains(answer.Pending, m.ID) {
		b.setUnconfirming(to.Node, false)
	}
}
