package kqdemo

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const shards = 16

type (
	// ledger is what the fake upstreams ran, as they tell it. It is safe for
	// concurrent use.
	ledger struct {
		shards [shards]shard

		mu   sync.Mutex
		runs map[kqname.Service][]ran
	}

	shard struct {
		mu    sync.Mutex
		times map[string]int
	}

	ran struct {
		version kqname.UpstreamVersion
		at      time.Time
	}
)

func newLedger() *ledger {
	l := &ledger{runs: make(map[kqname.Service][]ran)}
	for i := range l.shards {
		l.shards[i].times = make(map[string]int)
	}
	return l
}

// ran takes in one run of an upstream.
func (l *ledger) ran(r kqupstream.Run) {
	if r.Work != "" {
		s := l.shard(r.Work)
		s.mu.Lock()
		s.times[r.Work]++
		s.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Service] = append(l.runs[r.Service], ran{r.Version, r.At})
}

// times returns how often a piece of work ran.
func (l *ledger) times(work string) int {
	s := l.shard(work)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times[work]
}

// between returns how many calls a service ran from one time to another, and
// how many of those the new version did.
func (l *ledger) between(service kqname.Service, from, to time.Time) (all, fresh int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs[service] {
		if r.at.Before(from) || !r.at.Before(to) {
			continue
		}
		all++
		if r.version == newVersion {
			fresh++
		}
	}
	return all, fresh
}

// last returns when the new version of a service last began a call.
func (l *ledger) last(service kqname.Service) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var at time.Time
	for _, r := range l.runs[service] {
		if r.version == newVersion && r.at.After(at) {
			at = r.at
		}
	}
	return at
}

func (l *ledger) shard(work string) *shard { return &l.shards[xxhash.Sum64String(work)%shards] }
