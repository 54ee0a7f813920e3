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

	// Parent is what a nested call inherits from the call that it is made for.
	Parent struct {
		Caller kqname.Caller
		Depth  int
		// Repeat reports whether the parent may have been sent to an upstream before.
		Repeat bool
	}

	shard struct {
		mu      sync.Mutex
		running map[kqcall.ID]running
	}

	// running is a parent with the state of its runs.
	running struct {
		Parent
		// starved reports whether a call nested in it was not served for lack of
		// capacity.
		starved bool
		// runs is how many runs under this id are in progress; a call may be sent to the
		// same upstream again.
		runs int
	}
)

// New returns an empty set.
func New() *Calls {
	c := &Calls{}
	for i := range c.shards {
		c.shards[i].running = make(map[kqcall.ID]running)
	}
	return c
}

// Begin records that a call runs until End.
func (c *Calls) Begin(call *kqcall.Call) {
	s := c.shard(call.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.running[call.ID]
	h.Parent = Parent{Caller: call.Caller, Depth: call.Depth, Repeat: call.Repeat}
	h.runs++
	s.running[call.ID] = h
}

// MarkStarved records that a call nested in the call with that id was not served for
// lack of capacity.
func (c *Calls) MarkStarved(id kqcall.ID) {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.running[id]; ok {
		h.starved = true
		s.running[id] = h
	}
}

// Starved reports whether MarkStarved was called for the running call with that id.
func (c *Calls) Starved(id kqcall.ID) bool {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[id].starved
}

// End records that a run of the call has ended.
func (c *Calls) End(id kqcall.ID) {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.running[id]
	if h.runs--; h.runs > 0 {
		s.running[id] = h
	} else {
		delete(s.running, id)
	}
}

// Find returns the running call with that id, and false if there is none.
func (c *Calls) Find(id kqcall.ID) (Parent, bool) {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.running[id]
	return h.Parent, ok
}

func (c *Calls) shard(id kqcall.ID) *shard {
	return &c.shards[xxhash.Sum64String(string(id))%shardCount]
}
