package kqrates

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// deadCounted is for how long a dead node counts among the known ones. It may be behind a
	// partition and use its portion.
	deadCounted = 10 * time.Minute
	// settleTime is for how long after its start a node takes the fleet to be at least as
	// large as the settings say. A node learns of its peers within 3 s; when all nodes start at
	// once, each would else use the whole rate as long as it knows no other.
	settleTime = 3 * time.Second
	// aloneTime is the same for a node that knows no other node.
	aloneTime = 10 * time.Second
	// avoidTime is for how long a coordinator is avoided that did not answer.
	avoidTime = 5 * time.Second
	// recountPeriod is how often nodes are counted without a change of the membership.
	recountPeriod = time.Second
)

// fleet counts nodes and ranks coordinators by the membership table.
type fleet struct {
	table    *kqmember.Table
	expected int
	started  time.Time

	mu sync.Mutex
	// left holds the nodes that have left voluntarily, and died when others were declared dead.
	left    map[kqname.Node]bool
	died    map[kqname.Node]time.Time
	changed bool
	// alive and known are derived at the time counted, and chosen caches coordinators.
	alive   []kqmember.Member
	known   int
	counted time.Time
	avoided map[kqname.Node]time.Time
	chosen  map[int]kqmember.Member
}

func newFleet(table *kqmember.Table, expected int, started time.Time) *fleet {
	f := &fleet{
		table: table, expected: expected, started: started, changed: true,
		left: make(map[kqname.Node]bool), died: make(map[kqname.Node]time.Time), avoided: make(map[kqname.Node]time.Time),
	}
	table.OnChange(f.observe)
	return f
}

// observe notes whether a node left before it was declared dead.
func (f *fleet) observe(m kqmember.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changed = true
	switch m.State {
	case kqmember.Leaving:
		f.left[m.Node] = true
	case kqmember.Dead:
	default:
		delete(f.left, m.Node)
		delete(f.died, m.Node)
	}
}

// count returns the number of known nodes.
func (f *fleet) count(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh(now)
	if age := now.Sub(f.started); age < settleTime || f.known == 1 && age < aloneTime {
		return max(f.known, f.expected)
	}
	return f.known
}

// coordinator returns the alive member that ranks first for a shard and is not avoided, or this
// node if there is none.
func (f *fleet) coordinator(shards, index int, now time.Time) kqmember.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh(now)
	key := shards<<16 | index
	if m, ok := f.chosen[key]; ok {
		return m
	}
	best, top := f.table.Self(), uint64(0)
	for _, m := range f.alive {
		if now.Before(f.avoided[m.Node]) {
			continue
		}
		var b [128]byte
		if rank := xxhash.Sum64(append(binary.BigEndian.AppendUint32(b[:0], uint32(key)), m.Node...)); rank >= top {
			best, top = m, rank
		}
	}
	f.chosen[key] = best
	return best
}

// avoid makes other members rank before a node until a time.
func (f *fleet) avoid(n kqname.Node, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoided[n] = until
	f.changed = true
}

func (f *fleet) refresh(now time.Time) {
	if !f.changed && now.Sub(f.counted) < recountPeriod {
		return
	}
	f.changed, f.counted, f.chosen = false, now, make(map[int]kqmember.Member)
	f.alive, f.known = nil, 0
	for n, until := range f.avoided {
		if !now.Before(until) {
			delete(f.avoided, n)
		}
	}
	for _, m := range f.table.Members() {
		switch m.State {
		case kqmember.Alive:
			f.alive = append(f.alive, m)
			f.known++
		case kqmember.Suspect:
			f.known++
		case kqmember.Dead:
			if f.left[m.Node] {
				continue
			}
			at, ok := f.died[m.Node]
			if !ok {
				at = now
				f.died[m.Node] = now
			}
			if now.Sub(at) < deadCounted {
				f.known++
			}
		}
	}
	f.known = max(f.known, 1)
}

// shardCount returns the number of shards that a fleet of that many nodes divides workspaces
// into.
func shardCount(known int) int {
	switch {
	case known < 128:
		return 2
	case known < 256:
		return 8
	case known < 512:
		return 16
	default:
		return 32
	}
}
