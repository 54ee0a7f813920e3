package kqspread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodOffer   = "s.o"
	methodDeliver = "s.d"
	methodDirect  = "s.1"

	sendTimeout = time.Second
	// gather is how long messages wait for others to share their frames.
	gather = 20 * time.Millisecond
	// remembered is how many ids are kept to tell a message that crossed two
	// links from two messages; it bounds memory at 64 KB. At 500 messages a
	// second an id is kept for 16 s, and a message crosses the fleet in under 1.
	remembered = 8192
	// queueBytes bounds the payloads that wait to be passed on.
	queueBytes = 1 << 20
)

type (
	// Topic names a kind of message.
	Topic string

	// Receiver takes in a message; it must not block.
	Receiver func(from kqname.Node, payload []byte)

	// Overlay gives the peers to pass messages on to.
	Overlay interface {
		Neighbours() []kqmember.Member
	}

	// Spreader publishes and receives messages. It is safe for concurrent use.
	//
	// A message floods over the overlay: each node offers ids to its neighbours
	// and sends the payloads that they lack, so that a payload reaches a node
	// about once however many links the node has.
	Spreader struct {
		client  *kqpeer.Client
		self    kqname.Node
		overlay Overlay
		dropped func()

		mu        sync.Mutex
		receivers map[Topic][]Receiver
		seen      map[messageID]bool
		order     []messageID
		next      int
		queue     []message
		queued    int
		wake      chan struct{}
		busy      map[kqname.Address]bool
		sending   conc.WaitGroup
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

	nothing struct{}
)

// New returns a spreader that answers on server and sends through client;
// dropped is told of each message that there was no room to pass on.
func New(server *kqpeer.Server, client *kqpeer.Client, self kqname.Node, overlay Overlay, dropped func()) *Spreader {
	s := &Spreader{
		client: client, self: self, overlay: overlay, dropped: dropped, receivers: make(map[Topic][]Receiver),
		seen: make(map[messageID]bool), order: make([]messageID, remembered), wake: make(chan struct{}, 1),
		busy: make(map[kqname.Address]bool),
	}
	kqpeer.Handle(server, methodOffer, func(_ context.Context, _ kqname.Node, q offer) (offer, error) {
		return s.lacking(q), nil
	})
	kqpeer.Handle(server, methodDeliver, func(_ context.Context, _ kqname.Node, q delivery) (nothing, error) {
		for _, m := range q.Messages {
			s.take(m)
		}
		return nothing{}, nil
	})
	kqpeer.Handle(server, methodDirect, func(_ context.Context, _ kqname.Node, m message) (nothing, error) {
		s.deliver(m)
		return nothing{}, nil
	})
	return s
}

// Subscribe hands each message of a topic, this node's own included, to r.
func (s *Spreader) Subscribe(t Topic, r Receiver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivers[t] = append(s.receivers[t], r)
}

// Publish delivers a message here and sends it on its way to every other node.
// It does not wait for them.
func (s *Spreader) Publish(_ context.Context, t Topic, payload []byte) {
	s.take(message{ID: messageID(rand.Uint64()), From: s.self, Topic: t, Payload: payload})
}

// take delivers a message that is new here, and queues it for the neighbours.
func (s *Spreader) take(m message) {
	s.mu.Lock()
	if s.seen[m.ID] {
		s.mu.Unlock()
		return
	}
	delete(s.seen, s.order[s.next])
	s.seen[m.ID], s.order[s.next] = true, m.ID
	s.next = (s.next + 1) % remembered
	fits := s.queued+len(m.Payload) <= queueBytes
	if fits {
		s.queue = append(s.queue, m)
		s.queued += len(m.Payload)
	}
	s.mu.Unlock()
	if !fits {
		s.dropped()
	}
	s.deliver(m)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Spreader) lacking(q offer) offer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lacks offer
	for _, id := range q.IDs {
		if !s.seen[id] {
			lacks.IDs = append(lacks.IDs, id)
		}
	}
	return lacks
}
