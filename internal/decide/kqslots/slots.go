// Package kqslots decides which call gets one of an upstream's slots.
package kqslots

import (
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

type (
	// Slots hands out an upstream's slots, oldest call first, and queues calls
	// within a bound. It is safe for concurrent use.
	Slots struct {
		mu      sync.Mutex
		free    int
		most    int
		waiting []*Ticket
		closed  bool
	}

	// Ticket is one call's place. Ready is closed once Outcome is settled.
	Ticket struct {
		Ready    chan struct{}
		Outcome  kqcall.Outcome
		deadline time.Time
	}
)

// New returns slots for an upstream that runs count calls at once, with a queue
// of at most queue calls.
func New(count, queue int) *Slots { return &Slots{free: count, most: queue} }

// Enter asks for a slot. The ticket's Outcome, once Ready, is either OK, and
// then Leave must be called, or a refusal.
func (s *Slots) Enter(now, deadline time.Time) *Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &Ticket{Ready: make(chan struct{}), deadline: deadline}
	switch {
	case s.closed:
		t.settle(kqcall.Refuse(kqcall.Draining))
	case !now.Before(deadline):
		t.settle(kqcall.Refuse(kqcall.Late))
	case s.free > 0:
		s.free--
		t.settle(kqcall.OK())
	case len(s.waiting) >= s.most:
		t.settle(kqcall.Refuse(kqcall.QueueFull))
	default:
		s.waiting = append(s.waiting, t)
	}
	return t
}

// Leave gives a slot back to the first waiting call that is still in time.
func (s *Slots) Leave(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free++
	for s.free > 0 && len(s.waiting) > 0 {
		t := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !now.Before(t.deadline) {
			t.settle(kqcall.Refuse(kqcall.Late))
			continue
		}
		s.free--
		t.settle(kqcall.OK())
	}
}

// Abandon takes a waiting call out of the queue. It reports false when the
// call has been settled in the meantime; its outcome then stands.
func (s *Slots) Abandon(t *Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == t {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			t.settle(kqcall.Refuse(kqcall.Late))
			return true
		}
	}
	return false
}

// Close refuses all calls that wait and all that come.
func (s *Slots) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, t := range s.waiting {
		t.settle(kqcall.Refuse(kqcall.Draining))
	}
	s.waiting = nil
}

func (t *Ticket) settle(o kqcall.Outcome) {
	t.Outcome = o
	close(t.Ready)
}
