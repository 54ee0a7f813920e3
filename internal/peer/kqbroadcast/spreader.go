package kqbroadcast

import (
	"context"
	"math/rand/v2"
	"sync"
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
	// seenIDs is the number of recent message ids kept to drop duplicates that
	// arrive over several links; it bounds their memory at 64 KB. At 500 messages a
	// second an id is kept for 16 s, and a message crosses the fleet in under 1 s.
	seenIDs = 8192
	// maxQueueBytes bounds the total payload size of the messages to be forwarded.
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
		recent      []messageID
		next        int
		queue       []message
		queuedBytes int
		wake        chan struct{}
		// busy holds the peers to which a message of Send is in flight.
		busy    map[kqname.Address]bool
		sending conc.WaitGroup
	}

	messageID uint64

	message struct {
		ID      messageID   `cbor:"1,keyasint"`
		From    kqname.Node `cbor:"2,keyasint"`
		Topic   Topic       `cbor:"3,keyasint"`
		Payload []byte      `cbor:"4,keyasint"`
	}

	offer struct {
		IDs []messageID `cbor:"1,keyasint"`
	}

	delivery struct {
		Messages []message `cbor:"1,keyasint"`
	}

	empty struct{}
)

// New returns a spreader that registers its methods on server and sends through
// client. It calls onDrop for each message that it does not forward because the
// queue is full, and for each peer that Send skips.
func New(server *kqrpc.Server, client *kqrpc.Client, self kqname.Node, overlay Overlay, onDrop func()) *Broadcaster {
	s := &Broadcaster{
		client: client, self: self, overlay: overlay, onDrop: onDrop, receivers: make(map[Topic][]Receiver),
		seen: make(map[messageID]bool), recent: make([]messageID, seenIDs), wake: make(chan struct{}, 1),
		busy: make(map[kqname.Address]bool),
	}
	kqrpc.Handle(server, methodOffer, func(_ context.Context, _ kqname.Node, q offer) (offer, error) {
		return s.missingIDs(q), nil
	})
	kqrpc.Handle(server, methodDeliver, func(_ context.Context, _ kqname.Node, q delivery) (empty, error) {
		for _, m := range q.Messages {
			s.accept(m)
		}
		return empty{}, nil
	})
	kqrpc.Handle(server, methodDirect, func(_ context.Context, _ kqname.Node, m message) (empty, error) {
		s.deliver(m)
		return empty{}, nil
	})
	return s
}

// Subscribe registers r to be called with each message of a topic, including
// those that this node publishes.
func (s *Broadcaster) Subscribe(t Topic, r Receiver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivers[t] = append(s.receivers[t], r)
}

// Publish delivers a message to the local receivers and queues it for flooding to
// all other nodes. It does not wait for them.
func (s *Broadcaster) Publish(_ context.Context, t Topic, payload []byte) {
	s.accept(message{ID: messageID(rand.Uint64()), From: s.self, Topic: t, Payload: payload})
}

// accept delivers a message to the local receivers and queues it for the
// neighbours, unless it was accepted before.
func (s *Broadcaster) accept(m message) {
	s.mu.Lock()
	if s.seen[m.ID] {
		s.mu.Unlock()
		return
	}
	delete(s.seen, s.recent[s.next])
	s.seen[m.ID], s.recent[s.next] = true, m.ID
	s.next = (s.next + 1) % seenIDs
	fits := s.queuedBytes+len(m.Payload) <= maxQueueBytes
	if fits {
		s.queue = append(s.queue, m)
		s.queuedBytes += len(m.Payload)
	}
	s.mu.Unlock()
	if !fits {
		s.onDrop()
	}
	s.deliver(m)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// missingIDs returns the offered ids that this node has not seen.
func (s *Broadcaster) missingIDs(q offer) offer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var missing offer
	for _, id := range q.IDs {
		if !s.seen[id] {
			missing.IDs = append(missing.IDs, id)
		}
	}
	return missing
}
