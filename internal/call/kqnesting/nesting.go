package kqnesting

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const shardCount = 16

type (
	// Calls holds the calls that run at local upstreams. It is safe for concurrent use.
	Calls struct {
		shards [shardCount]shard
	}

	// Above is what a nested call takes over from the call that it is made for.
	Above struct {
		Caller kqname.Caller
		Depth  int
		// Repeat tells that the call is a repeated sending.
		Repeat bool
	}

	shard struct {
		mu   sync.Mutex
		held map[kqcall.ID]held
	}

	held struct {
		Above
		// starved tells that a call made for it was not served for want of room.
		starved bool
		// sendings counts the runs under that id; a call may be sent to one upstream again.
		sendings int
	}
)

// New returns an empty set.
func New() *Calls {
	c := &Calls{}
	for i := range c.shards {
		c.shards[i].held = make(map[kqcall.ID]held)
	}
	return c
}

// Begin notes that a call runs until End.
func (c *Calls) Begin(call *kqcall.Call) {
	s := c.shard(call.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[call.ID]
	h.Above = Above{Caller: call.Caller, Depth: call.Depth, Repeat: call.Repeat}
	h.sendings++
	s.held[call.ID] = h
}

// Starve notes that a call made for the call of that id was not served for want of room.
func (c *Calls) Starve(id kqcall.ID) {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.held[id]; ok {
		h.starved = true
		s.held[id] = h
	}
}

// Starved reports whether that was noted of the call.
func (c *Calls) Starved(id kqcall.ID) bool {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[id].starved
}

// End notes that a call has ended.
func (c *Calls) End(id kqcall.ID) {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[id]
	if h.sendings--; h.sendings > 0 {
		s.held[id] = h
	} else {
		delete(s.held, id)
	}
}

// Find returns the call of that id, and false if none runs.
func (c *Calls) Find(id kqcall.ID) (Above, bool) {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.held[id]
	return h.Above, ok
}

func (c *Calls) shard(id kqcall.ID) *shard {
	return &c.shards[xxhash.Sum64String(string(id))%shardCount]
}
