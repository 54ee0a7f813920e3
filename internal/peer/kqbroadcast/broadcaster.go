package kqbroadcast

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodOffer   = "s.o"
	methodDeliver = "s.d"
	methodDirect  = "s.1"

	sendTimeout = time.Second
	// batchDelay is how long a message waits so that others can share its frame.
	batchDelay = 20 * time.Millisecond
	// maxSeenIDs is the number of recent message ids that are kept to detect duplicates,
	// which arrive over other links. At 500 messages a second an id is kept for 16 s,
	// and a message crosses the fleet in under 1 s. The ring of ids takes 64 KB, and the
	// set of the same ids is additional.
	maxSeenIDs = 8192
	// maxUrgent bounds the urgent messages in flight to neighbours. Further ones are queued
	// like others.
	maxUrgent = 256
	// maxQueueBytes bounds the total payload size of the queued messages.
	maxQueueBytes = 1 << 20
)

type (
	// Topic names a kind of message.
	Topic string

	// Receiver handles a message; it must not block.
	Receiver func(from kqname.Node, payload []byte)

	// Overlay returns the peers to forward messages to.
	Overlay interface {
		Neighbours() []kqmember.Member
	}

	// Broadcaster publishes and receives messages. It is safe for concurrent use.
	//
	// A message floods over the overlay: each node offers message ids to its
	// neighbours and sends them the messages that they lack, so that a payload
	// reaches a node about once however many links the node has.
	Broadcaster struct {
		client  *kqrpc.Client
		self    kqname.Node
		overlay Overlay
		onDrop  func()

		mu        sync.Mutex
		receivers map[Topic][]Receiver
		seen      map[messageID]bool
		// recent is a ring of the ids in seen; next is the index to overwrite.
		recent []messageID
		next   int
		// queue holds the messages to be flooded, and queuedBytes their payload size.
		queue       []message
		queuedBytes int
		wake        chan struct{}
		// busy holds the peers to which SendDirect has a message in flight.
		busy map[kqname.Address]bool
		// sending holds the sends in flight that Run waits for once it is stopping.
		sending    conc.WaitGroup
		isStopping bool
		// urgent is the number of urgent messages in flight to neighbours, and awaited that of
		// neighbours' confirmations that are waited for.
		urgent, awaited atomic.Int64
		// confirming holds the urgent messages that neighbours have not confirmed yet, and
		// unconfirming the neighbours that did not confirm the last one in time.
		confirming   map[messageID]*confirmation
		unconfirming map[kqname.Node]bool
	}

	messageID uint64

	// message is a published or direct message. The ID of a direct one is 0.
	message struct {
		ID      messageID   `cbor:"1,keyasint"`
		From    kqname.Node `cbor:"2,keyasint"`
		Topic   Topic       `cbor:"3,keyasint"`
		Payload []byte      `cbor:"4,keyasint"`
		// Urgent messages are sent whole at once, and not offered first.
		Urgent bool `cbor:"5,keyasint,omitempty"`
		// ConfirmWithin is how long the receiver of an urgent message waits for its own neighbours
		// before it confirms, 0 if the sender does not ask.
		ConfirmWithin time.Duration `cbor:"6,keyasint,omitempty"`
	}

	// idList holds the ids of an offer, or of the messages that a peer lacks.
	idList struct {
		IDs []messageID `cbor:"1,keyasint"`
	}

	// delivery holds the messages that a peer lacks.
	delivery struct {
		Messages []message `cbor:"1,keyasint"`
	}

	empty struct{}
)

// New returns a broadcaster that registers its methods on server and sends through
// client. It calls onDrop for each message that it does not flood because the queue
// is full, and for each peer that SendDirect skips.
func New(server *kqrpc.Server, client *kqrpc.Client, self kqname.Node, overlay Overlay, onDrop func()) *Broadcaster {
	b := &Broadcaster{
		client: client, self: self, overlay: overlay, onDrop: onDrop, receivers: make(map[Topic][]Receiver),
		seen: make(map[messageID]bool), recent: make([]messageID, maxSeenIDs), wake: make(chan struct{}, 1),
		busy: make(map[kqname.Address]bool), confirming: make(map[messageID]*confirmation), unconfirming: make(map[kqname.Node]bool),
	}
	kqrpc.Handle(server, methodOffer, func(_ context.Context, _ kqname.Node, q idList) (idList, error) {
		return b.missingIDs(q), nil
	})
	kqrpc.Handle(server, methodDeliver, func(_ context.Context, from kqname.Node, q delivery) (acknowledgement, error) {
		var all acknowledgement
		for _, m := range q.Messages {
			m.ConfirmWithin = min(m.ConfirmWithin, MaxConfirmTime)
			if c := b.accept(m, from); c != nil && m.ConfirmWithin >= minConfirmTime {
				all.Pending = append(all.Pending, b.pending(m.ID).Pending...)
			}
		}
		return all, nil
	})
	kqrpc.Handle(server, methodConfirm, func(_ context.Context, _ kqname.Node, q idList) (acknowledgement, error) {
		return b.pending(q.IDs...), nil
	})
	kqrpc.Handle(server, methodDirect, func(_ context.Context, _ kqname.Node, m message) (empty, error) {
		b.deliver(m)
		return empty{}, nil
	})
	return b
}

// Subscribe registers r to be called with each message of a topic that this node
// receives or publishes.
func (b *Broadcaster) Subscribe(t Topic, r Receiver) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.receivers[t] = append(b.receivers[t], r)
}

// Publish delivers a message to the local receivers and queues it for flooding to
// all other nodes. It does not wait for them.
func (b *Broadcaster) Publish(_ context.Context, t Topic, payload []byte) {
	b.accept(message{ID: messageID(rand.Uint64()), From: b.self, Topic: t, Payload: payload}, "")
}

// PublishUrgent does what Publish does, but waits for no other messages to share a frame with
// and for no slow neighbour. It is for small and rare messages. The channel that it returns is
// closed once all nodes have confirmed the message that can be reached, or after
// MaxConfirmTime: each node confirms to the one it has the message from once its own
// neighbours have confirmed, and at once if it has the message already.
func (b *Broadcaster) PublishUrgent(_ context.Context, t Topic, payload []byte) <-chan struct{} {
	m := message{ID: messageID(rand.Uint64()), From: b.self, Topic: t, Payload: payload, Urgent: true, ConfirmWithin: MaxConfirmTime}
	if c := b.accept(m, ""); c != nil {
		return c.done
	}
	unconfirmed := make(chan struct{})
	close(unconfirmed)
	return unconfirmed
}

// accept delivers a message from a node, or "" for this one, to the local receivers and queues it
// for the neighbours, unless it was accepted before. If the queue is full, the message is delivered
// but not flooded. Of an urgent message that was not accepted before, it returns the neighbours'
// confirmation, unless too many are in flight.
func (b *Broadcaster) accept(m message, from kqname.Node) *confirmation {
	b.mu.Lock()
	if b.seen[m.ID] {
		b.mu.Unlock()
		return nil
	}
	delete(b.seen, b.recent[b.next])
	b.seen[m.ID], b.recent[b.next] = true, m.ID
	b.next = (b.next + 1) % maxSeenIDs
	b.mu.Unlock()
	if m.Urgent {
		if c := b.floodUrgent(m, from); c != nil {
			b.deliver(m)
			return c
		}
	}
	b.mu.Lock()
	fits := b.queuedBytes+len(m.Payload) <= maxQueueBytes
	if fits {
		b.queue = append(b.queue, m)
		b.queuedBytes += len(m.Payload)
	}
	b.mu.Unlock()
	if !fits {
		b.onDrop()
	}
	b.deliver(m)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return nil
}

// missingIDs returns the offered ids that this node has not seen.
func (b *Broadcaster) missingIDs(q idList) idList {
	b.mu.Lock()
	defer b.mu.Unlock()
	var missing idList
	for _, id := range q.IDs {
		if !b.seen[id] {
			missing.IDs = append(missing.IDs, id)
		}
	}
	return missing
}
