package kqbroadcast

import (
	"context"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// SendDirect sends a message to the given nodes only, which do not forward it. It does
// not wait for them. A node with a message of Send still in flight is skipped and
// the drop is counted, so a slow peer holds at most one message in memory here;
// the next message replaces the dropped one.
func (s *Broadcaster) SendDirect(ctx context.Context, t Topic, payload []byte, to []kqname.Address) {
	m := message{From: s.self, Topic: t, Payload: payload}
	for _, address := range to {
		if !s.tryAcquire(address) {
			s.onDrop()
			continue
		}
		s.sending.Go(func() {
			defer s.release(address)
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
			defer cancel()
			_, _ = kqrpc.Call[message, empty](ctx, s.client, address, methodDirect, m)
		})
	}
}

// tryAcquire marks a peer as busy and reports whether it was free.
func (s *Broadcaster) tryAcquire(to kqname.Address) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[to] {
		return false
	}
	s.busy[to] = true
	return true
}

func (s *Broadcaster) release(to kqname.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, to)
}

// deliver passes a message to the local receivers of its topic.
func (s *Broadcaster) deliver(m message) {
	s.mu.Lock()
	receivers := s.receivers[m.Topic]
	s.mu.Unlock()
	for _, r := range receivers {
		r(m.From, m.Payload)
	}
}
