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
	// timeResolution is the resolution of the time of last use. With it, calls for the
	// same host rarely write, which avoids contention for the cache line.
	timeResolution = time.Second
)

type (
	// Interests holds the hosts that a node's traffic uses. It is safe for concurrent
	// use, and Renew takes only the read lock of one shard.
	Interests struct {
		shards [shards]shard
	}

	shard struct {
		mu       sync.RWMutex
		lastUsed map[kqname.Host]*atomic.Int64
	}
)

// New returns an empty Interests.
func New() *Interests {
	i := &Interests{}
	for n := range i.shards {
		i.shards[n].lastUsed = make(map[kqname.Host]*atomic.Int64)
	}
	return i
}

// Renew updates the time of last use of a host if it is more than timeResolution old. It
// does not add a host.
func (i *Interests) Renew(host kqname.Host, now time.Time) {
	s := i.shard(host)
	s.mu.RLock()
	lastUsed := s.lastUsed[host]
	s.mu.RUnlock()
	if at := now.UnixNano(); lastUsed != nil && at-lastUsed.Load() > int64(timeResolution) {
		lastUsed.Store(at)
	}
}

// Add adds a host, or updates its time of last use.
func (i *Interests) Add(host kqname.Host, now time.Time) {
	s := i.shard(host)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastUsed[host] == nil {
		s.lastUsed[host] = &atomic.Int64{}
	}
	s.lastUsed[host].Store(now.UnixNano())
}

// Hosts returns all hosts, the most recently used first.
func (i *Interests) Hosts() []kqname.Host {
	type entry struct {
		host     kqname.Host
		lastUsed int64
	}
	var all []entry
	for n := range i.shards {
		s := &i.shards[n]
		s.mu.RLock()
		for h, lastUsed := range s.lastUsed {
			all = append(all, entry{h, lastUsed.Load()})
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b entry) int { return int(min(max(b.lastUsed-a.lastUsed, -1), 1)) })
	hosts := make([]kqname.Host, 0, len(all))
	for _, e := range all {
		hosts = append(hosts, e.host)
	}
	return hosts
}

// Sweep drops the hosts that were last used before the given time, and returns their
// number.
func (i *Interests) Sweep(before time.Time) int {
	return i.drop(func(_ kqname.Host, lastUsed int64) bool { return lastUsed < before.UnixNano() })
}

// Drop drops one host.
func (i *Interests) Drop(host kqname.Host) {
	i.drop(func(h kqname.Host, _ int64) bool { return h == host })
}

// drop drops the hosts for which shouldDrop returns true, and returns their number.
func (i *Interests) drop(shouldDrop func(kqname.Host, int64) bool) int {
	dropped := 0
	for n := range i.shards {
		s := &i.shards[n]
		s.mu.Lock()
		for h, lastUsed := range s.lastUsed {
			if shouldDrop(h, lastUsed.Load()) {
				delete(s.lastUsed, h)
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
