// Package kqspread hands small messages to every node. A message may arrive
// more than once, late or not at all; what it says must bear that.
package kqspread

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	method      = "spread.publish"
	sendTimeout = time.Second
)

type (
	// Topic names a kind of message.
	Topic string

	// Receiver takes in a message; it must not block.
	Receiver func(from kqname.Node, payload []byte)

	// Spreader publishes and receives messages. It is safe for concurrent use.
	Spreader struct {
		client *kqpeer.Client
		table  *kqmember.Table

		mu        sync.RWMutex
		receivers map[Topic][]Receiver
	}

	message struct {
		Topic   Topic  `cbor:"1,keyasint"`
		Payload []byte `cbor:"2,keyasint"`
	}
	nothing struct{}
)

// New returns a spreader that answers on server and sends through client.
func New(server *kqpeer.Server, client *kqpeer.Client, table *kqmember.Table) *Spreader {
	s := &Spreader{client: client, table: table, receivers: make(map[Topic][]Receiver)}
	kqpeer.Handle(server, method, func(_ context.Context, from kqname.Node, m message) (nothing, error) {
		s.deliver(from, m)
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

// Publish sends a message to every node that is not held to be dead, and
// returns once each has it or has failed.
func (s *Spreader) Publish(ctx context.Context, t Topic, payload []byte) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	m := message{Topic: t, Payload: payload}
	self := s.table.Self().Node
	s.deliver(self, m)
	var group conc.WaitGroup
	defer group.Wait()
	for _, to := range s.table.Members() {
		if to.Node == self || to.State == kqmember.Dead {
			continue
		}
		group.Go(func() {
			// A peer that missed it hears of it from the next message.
			_, _ = kqpeer.Call[message, nothing](ctx, s.client, to.Control, method, m)
		})
	}
}

func (s *Spreader) deliver(from kqname.Node, m message) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, r := range s.receivers[m.Topic] {
		r(from, m.Payload)
	}
}
