package kqinterest

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	shards = 16
	// grain is how exact the time of last use is. Calls of one host then seldom
	// write, and processors need not pass the same line of memory around.
	grain = time.Second
)

type (
	// Interests are a node's. They are safe for concurrent use, and renewing one
	// takes a shared lock of one shard only.
	Interests struct {
		shards [shards]shard
	}

	shard struct {
		mu   sync.RWMutex
		used map[kqname.Host]*atomic.Int64
	}
)

// New returns interests without any.
func New() *Interests {
	i := &Interests{}
	for n := range i.shards {
		i.shards[n].used = make(map[kqname.Host]*atomic.Int64)
	}
	return i
}

// Renew notes a use of a host that is held already; it adds none.
func (i *Interests) Renew(host kqname.Host, now time.Time) {
	s := i.shard(host)
	s.mu.RLock()
	used := s.used[host]
	s.mu.RUnlock()
	if at := now.UnixNano(); used != nil && at-used.Load() > int64(grain) {
		used.Store(at)
	}
}

// Add begins or renews an interest.
func (i *Interests) Add(host kqname.Host, now time.Time) {
	s := i.shard(host)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used[host] == nil {
		s.used[host] = &atomic.Int64{}
	}
	s.used[host].Store(now.UnixNano())
}

// Hosts returns all hosts, the one used last first.
func (i *Interests) Hosts() []kqname.Host {
	type entry struct {
		host kqname.Host
		used int64
	}
	var all []entry
	for n := range i.shards {
		s := &i.shards[n]
		s.mu.RLock()
		for h, used := range s.used {
			all = append(all, entry{h, used.Load()})
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b entry) int { return int(min(max(b.used-a.used, -1), 1)) })
	hosts := make([]kqname.Host, 0, len(all))
	for _, e := range all {
		hosts = append(hosts, e.host)
	}
	return hosts
}

// Sweep drops the hosts that were last used before the given time, and returns
// how many they were.
func (i *Interests) Sweep(before time.Time) int {
	return i.drop(func(_ kqname.Host, used int64) bool { return used < before.UnixNano() })
}

// Drop drops one host.
func (i *Interests) Drop(host kqname.Host) {
	i.drop(func(h kqname.Host, _ int64) bool { return h == host })
}

func (i *Interests) drop(chosen func(kqname.Host, int64) bool) int {
	dropped := 0
	for n := range i.shards {
		s := &i.shards[n]
		s.mu.Lock()
		for h, used := range s.used {
			if chosen(h, used.Load()) {
				delete(s.used, h)
				dropped++
			}
		}
		s.mu.Unlock()
	}
	return dropped
}

func (i *Interests) shard(host kqname.Host) *shard {
	return &i.shards[xxhash.Sum64String(string(host))%shards]
}
