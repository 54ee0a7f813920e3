package kqspread

import (
	"context"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Send hands a message to some nodes only, which do not pass it on. It does not
// wait for them: a node that still works on the one before is passed over, so
// that a slow peer holds at most one message here, and the next makes up for it.
func (s *Spreader) Send(ctx context.Context, t Topic, payload []byte, to []kqname.Address) {
	m := message{From: s.self, Topic: t, Payload: payload}
	for _, address := range to {
		if !s.begin(address) {
			s.dropped()
			continue
		}
		s.sending.Go(func() {
			defer s.end(address)
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
			defer cancel()
			_, _ = kqpeer.Call[message, nothing](ctx, s.client, address, methodDirect, m)
		})
	}
}

func (s *Spreader) begin(to kqname.Address) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[to] {
		return false
	}
	s.busy[to] = true
	return true
}

func (s *Spreader) end(to kqname.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, to)
}

func (s *Spreader) deliver(m message) {
	s.mu.Lock()
	receivers := s.receivers[m.Topic]
	s.mu.Unlock()
	for _, r := range receivers {
		r(m.From, m.Payload)
	}
}
