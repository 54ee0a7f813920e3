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
	// runLog records the calls that the fake upstreams ran. It is safe for
	// concurrent use.
	runLog struct {
		shards [shards]shard

		mu   sync.Mutex
		runs map[kqname.Service][]ran
	}

	// shard counts the runs by work id for a part of the ids.
	shard struct {
		mu       sync.Mutex
		runCount map[string]int
	}

	// ran is one run of a call, recorded when it begins.
	ran struct {
		version kqname.UpstreamVersion
		at      time.Time
	}
)

func newRunLog() *runLog {
	l := &runLog{runs: make(map[kqname.Service][]ran)}
	for i := range l.shards {
		l.shards[i].runCount = make(map[string]int)
	}
	return l
}

// ran records a call that an upstream began to run.
func (l *runLog) ran(r kqupstream.Run) {
	if r.Work != "" {
		s := l.shard(r.Work)
		s.mu.Lock()
		s.runCount[r.Work]++
		s.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Service] = append(l.runs[r.Service], ran{r.Version, r.At})
}

// runCount returns how often the call with a work id ran.
func (l *runLog) runCount(workID string) int {
	s := l.shard(workID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCount[workID]
}

// countBetween returns how many calls the service's upstreams began in [from, to),
// and how many of those its new version began.
func (l *runLog) countBetween(service kqname.Service, from, to time.Time) (all, newRuns int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs[service] {
		if r.at.Before(from) || !r.at.Before(to) {
			continue
		}
		all++
		if r.version == newVersion {
			newRuns++
		}
	}
	return all, newRuns
}

// lastNewRun returns when the service's new version last began a call, or the
// zero time if it never did.
func (l *runLog) lastNewRun(service kqname.Service) time.Time {
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

func (l *runLog) shard(workID string) *shard { return &l.shards[xxhash.Sum64String(workID)%shards] }
