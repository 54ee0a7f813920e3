package kqloadbench

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqopenloop"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
)

const (
	longPath = "/long"
	longWork = 600 * time.Millisecond
	callers  = 10
	settle   = 5 * time.Second
	short    = "short"
	long     = "long"
)

type (
	// pattern is one load pattern, in shares of the upstreams' capacity.
	pattern struct {
		streams   []*kqopenloop.Stream
		behaviour kqupstream.Behaviour
		// change is done to one upstream at changeAt.
		change   func(*kqupstream.Upstream)
		changeAt time.Duration
		windows  []window
		length   time.Duration
	}

	// window is a stretch of a run whose latencies are told apart.
	window struct {
		name     string
		class    string
		from, to time.Duration
	}
)

var (
	errNotReady = errors.New("fleet does not answer yet")

	healthy  = kqupstream.Behaviour{Work: work}
	patterns = map[string]pattern{
		"burst":         burst(),
		"hot_caller":    hotCaller(),
		"slow_upstream": slowUpstream(),
		"long_jobs":     longJobs(),
		"overload":      overload(),
	}
)

// Patterns returns the names of all load patterns.
func Patterns() []string { return slices.Sorted(maps.Keys(patterns)) }

// burst is 5 times the usual load for 2 s: 30% of capacity becomes 150%.
func burst() pattern {
	return pattern{
		streams: []*kqopenloop.Stream{shortStream(1, phase(4*time.Second, 0.3), phase(2*time.Second, 1.5), phase(6*time.Second, 0.3))},
		windows: []window{
			{"before", short, time.Second, 4 * time.Second},
			{"during", short, 4 * time.Second, 6 * time.Second},
			{"from_3s_after", short, 9 * time.Second, 12 * time.Second},
		},
		behaviour: healthy, length: 12 * time.Second,
	}
}

// hotCaller has ten callers with equal shares of 70% of capacity; after 3 s one
// of them sends 10 times its share.
func hotCaller() pattern {
	p := pattern{behaviour: healthy, length: 13 * time.Second, windows: []window{
		{"before", short, time.Second, 3 * time.Second},
		{"hot", short, 3 * time.Second, 13 * time.Second},
	}}
	for i := range callers {
		hot := 0.07
		if i == 0 {
			hot = 0.7
		}
		p.streams = append(p.streams, shortStream(i+1, phase(3*time.Second, 0.07), phase(10*time.Second, hot)))
	}
	return p
}

// slowUpstream has one upstream of six become 20 times slower at half load.
func slowUpstream() pattern {
	return pattern{
		streams:   []*kqopenloop.Stream{shortStream(1, phase(16*time.Second, 0.5))},
		behaviour: healthy, length: 16 * time.Second,
		change:   func(u *kqupstream.Upstream) { u.SetBehaviour(kqupstream.Behaviour{Work: 20 * work}) },
		changeAt: settle,
		windows: []window{
			{"healthy", short, time.Second, settle},
			{"first_5s", short, settle, 2 * settle},
			{"after_5s", short, 2 * settle, 16 * time.Second},
		},
	}
}

// longJobs has short calls at 25% of capacity, joined after 5 s by calls 15
// times as long that take another 40%.
func longJobs() pattern {
	rate := 0.4 * float64(servers*slots) / longWork.Seconds()
	return pattern{
		streams: []*kqopenloop.Stream{
			shortStream(1, phase(15*time.Second, 0.25)),
			{Caller: caller(2), Class: long, Host: service, Path: longPath, Phases: []kqopenloop.Phase{{For: settle}, {For: 10 * time.Second, Rate: rate}}},
		},
		behaviour: kqupstream.Behaviour{Work: work, LongPath: longPath, LongWork: longWork}, length: 15 * time.Second,
		windows: []window{
			{"short_alone", short, time.Second, settle},
			{"short_beside_long", short, settle, 15 * time.Second},
			{"long", long, settle, 15 * time.Second},
		},
	}
}

// overload is three times the capacity for 10 s.
func overload() pattern {
	p := pattern{behaviour: healthy, length: 10 * time.Second}
	for i := range callers {
		p.streams = append(p.streams, shortStream(i+1, phase(10*time.Second, 3.0/callers)))
	}
	return p
}

func (p pattern) canAnswer() float64 { return capacity * p.length.Seconds() }

func (w window) holds(s kqopenloop.Sample) bool {
	return s.Stream.Class == w.class && s.At >= w.from && s.At < w.to
}

func shortStream(number int, list ...kqopenloop.Phase) *kqopenloop.Stream {
	return &kqopenloop.Stream{Caller: caller(number), Class: short, Host: service, Path: "/", Phases: list}
}

func caller(number int) string { return fmt.Sprintf("127.0.1.%d", number) }

// phase is a stretch at a load, as a share of capacity.
func phase(length time.Duration, share float64) kqopenloop.Phase {
	return kqopenloop.Phase{For: length, Rate: share * capacity}
}
