package kqrates

import (
	"fmt"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqadmission"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqrateshare"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// lookPeriod is for how long the shares that a coordinator has worked out are answered.
	// At 550 nodes a shard of 300 workspaces would else cost some 2% of a core.
	lookPeriod = 50 * time.Millisecond
	// startTime is for how long a process does not coordinate. When all nodes start at once,
	// each knows only itself at first, and would answer itself that nothing is limited.
	startTime = 2 * time.Second
	// coordinatedFor is for how long a shard is kept after its last report.
	coordinatedFor = 10 * time.Second
	maxShards      = 32
)

type (
	coordinator struct {
		mu     sync.Mutex
		shards map[shardKey]*coordinated
	}

	shardKey struct{ count, index int }

	// coordinated is a shard of which nodes report to this one.
	coordinated struct {
		shard      *kqrateshare.Shard
		reportedAt time.Time
		use        map[kqrateshare.Workspace]kqrateshare.Use
		lookedAt   time.Time
		limited    map[kqrateshare.Workspace]limitedWorkspace
	}

	// limitedWorkspace is a workspace whose share was last below 1 at the time at.
	limitedWorkspace struct {
		name kqname.Workspace
		at   time.Time
	}

	// Use is how much of its rate a workspace uses over all nodes, in calls a second. Share is
	// the part of its calls that is admitted, 1 unless it is limited.
	Use struct {
		Workspace kqname.Workspace `cbor:"1,keyasint"`
		RatePerS  float64          `cbor:"2,keyasint"`
		Burst     float64          `cbor:"3,keyasint,omitempty"`
		Arrived   float64          `cbor:"4,keyasint"`
		Admitted  float64          `cbor:"5,keyasint"`
		Share     float64          `cbor:"6,keyasint"`
	}
)

// Answer records a node's report and returns what it must know.
func (r *Rates) Answer(from kqname.Node, q Report, now time.Time) (Answer, error) {
	if q.Known < 1 || q.ShardCount < 1 || q.ShardCount > maxShards || len(q.Shards) > q.ShardCount {
		return Answer{}, fmt.Errorf("report of %s: %w", from, ErrReport)
	}
	if left := startTime - now.Sub(r.started); left > 0 {
		return Answer{StartingMS: left.Milliseconds() + 1}, nil
	}
	var a Answer
	var changes []LimitChange
	c := &r.coordinator
	c.mu.Lock()
	for _, one := range q.Shards {
		if one.Index < 0 || one.Index >= q.ShardCount {
			continue
		}
		s := c.shard(shardKey{q.ShardCount, one.Index})
		s.reportedAt = now
		unknown := s.shard.Record(from, kqrateshare.Report{
			Portion: 1 / float64(q.Known), Covered: time.Duration(one.CoveredMS) * time.Millisecond, Counts: one.counts(),
		}, r.index.limit, now)
		changes = append(changes, r.look(s, now)...)
		if s.shard.IsLearning(now) {
			a.Shards = append(a.Shards, ShardAnswer{Index: one.Index, Unknown: unknown, Learning: true})
			continue
		}
		answer := ShardAnswer{Index: one.Index, Unknown: unknown}
		for w, u := range s.use {
			if u.Answer.Share < 1 {
				answer.add(w, u.Answer)
			}
		}
		if len(answer.Workspaces) > 0 || len(answer.Unknown) > 0 {
			a.Shards = append(a.Shards, answer)
		}
	}
	c.mu.Unlock()
	r.notify(changes, now)
	return a, nil
}

func (c *coordinator) shard(key shardKey) *coordinated {
	s, ok := c.shards[key]
	if !ok {
		s = &coordinated{shard: kqrateshare.New(), limited: make(map[kqrateshare.Workspace]limitedWorkspace)}
		c.shards[key] = s
	}
	return s
}

// look works out the shares of a shard unless that was done just now, and returns which
// workspaces start or stop being limited.
func (r *Rates) look(s *coordinated, now time.Time) []LimitChange {
	if !s.lookedAt.IsZero() && now.Sub(s.lookedAt) < lookPeriod {
		return nil
	}
	s.use, s.lookedAt = s.shard.Use(r.index.limit, now), now
	var changes []LimitChange
	for hash, u := range s.use {
		w, ok := r.index.find(hash)
		if !ok || u.Answer.Share >= 1 {
			continue
		}
		if _, was := s.limited[hash]; !was {
			changes = append(changes, LimitChange{Workspace: w.Name, Limited: true, Coordinator: true, Limit: limitOf(w), Arrived: u.Arrived, Share: u.Answer.Share})
		}
		s.limited[hash] = limitedWorkspace{w.Name, now}
	}
	return append(changes, r.freed(s, func(l limitedWorkspace) bool { return now.Sub(l.at) >= limitedUntil })...)
}

// freed removes the limited workspaces that isFree selects, and returns the changes.
func (r *Rates) freed(s *coordinated, isFree func(limitedWorkspace) bool) []LimitChange {
	var changes []LimitChange
	for hash, l := range s.limited {
		if !isFree(l) {
			continue
		}
		delete(s.limited, hash)
		c := LimitChange{Workspace: l.name, Coordinator: true, Arrived: s.use[hash].Arrived, Share: 1}
		c.Limit, _ = r.index.limit(hash)
		changes = append(changes, c)
	}
	return changes
}

func (r *Rates) notify(changes []LimitChange, now time.Time) {
	for _, c := range changes {
		r.config.Observer.LimitChanged(c, now)
	}
}

// observeCoordinated drops the shards that no node reports any more, and finds workspaces that
// have stopped being limited.
func (r *Rates) observeCoordinated(now time.Time) {
	var changes []LimitChange
	c := &r.coordinator
	c.mu.Lock()
	for key, s := range c.shards {
		if now.Sub(s.reportedAt) > coordinatedFor {
			delete(c.shards, key)
			changes = append(changes, r.freed(s, func(limitedWorkspace) bool { return true })...)
		} else if len(s.limited) > 0 && now.Sub(s.reportedAt) < kqadmission.FreshFor {
			changes = append(changes, r.look(s, now)...)
		}
	}
	c.mu.Unlock()
	r.notify(changes, now)
}

// Coordinated returns the use of the workspaces that this node coordinates and that have had
// calls lately, in any order. A workspace may be listed for several numbers of shards.
func (r *Rates) Coordinated(now time.Time) []Use {
	c := &r.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Use
	for _, s := range c.shards {
		if now.Sub(s.reportedAt) > kqadmission.FreshFor {
			continue
		}
		for hash, u := range s.shard.Use(r.index.limit, now) {
			if w, ok := r.index.find(hash); ok {
				list = append(list, Use{Workspace: w.Name, RatePerS: w.RatePerS, Burst: w.Burst, Arrived: u.Arrived, Admitted: u.Admitted, Share: u.Answer.Share})
			}
		}
	}
	return list
}
