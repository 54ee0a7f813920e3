package kqnesting

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// shardCount is the number of locks among which the calls are divided, by their ids.
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
		Class  kqdocument.Class
		// Workspace and WorkspaceClass are those of the parent.
		Workspace      kqname.Workspace
		WorkspaceClass kqdocument.Class
		// Repeat reports whether an upstream may have been sent the parent, or a call that
		// the parent is nested in, before.
		Repeat bool
		// Fingerprint, Service and Route are those of the parent's request.
		Fingerprint kqfingerprint.Fingerprint
		Service     kqname.Service
		Route       kqname.Route
	}

	shard struct {
		mu      sync.Mutex
		running map[kqcall.ID]running
	}

	// running is a call that runs at a local upstream.
	running struct {
		Parent
		// starved reports whether a call nested in it was not served for lack of
		// capacity.
		starved bool
		// runs is the number of runs in progress under this id. There may be two, since a
		// call may be sent to the same upstream again.
		runs int
	}
)

// New returns a Calls without calls.
func New() *Calls {
	c := &Calls{}
	for i := range c.shards {
		c.shards[i].running = make(map[kqcall.ID]running)
	}
	return c
}

// Begin records that a run of the call has begun. Find then returns this run's fields.
func (c *Calls) Begin(call *kqcall.Call) {
	s := c.shard(call.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.running[call.ID]
	r.Parent = Parent{Caller: call.Caller, Depth: call.Depth, Class: call.Class, Workspace: call.Workspace, WorkspaceClass: call.WorkspaceClass, Repeat: call.Repeat, Fingerprint: call.Fingerprint, Service: call.Service, Route: call.Route}
	r.runs++
	s.running[call.ID] = r
}

// MarkStarved records that a call nested in the call with that id was not served for
// lack of capacity.
func (c *Calls) MarkStarved(id kqcall.ID) {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.running[id]; ok {
		r.starved = true
		s.running[id] = r
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
	r := s.running[id]
	if r.runs--; r.runs > 0 {
		s.running[id] = r
	} else {
		delete(s.running, id)
	}
}

// Find returns what calls nested in the running call with that id inherit, and false if no
// such call is running.
func (c *Calls) Find(id kqcall.ID) (Parent, bool) {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.running[id]
	return r.Parent, ok
}

// Len returns the number of running calls.
func (c *Calls) Len() int {
	count := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		count += len(s.running)
		s.mu.Unlock()
	}
	return count
}

func (c *Calls) shard(id kqcall.ID) *shard {
	return &c.shards[xxhash.Sum64String(string(id))%shardCount]
}
