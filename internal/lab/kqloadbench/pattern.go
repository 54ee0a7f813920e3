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
	longPath        = "/long"
	longServiceTime = 600 * time.Millisecond
	callerCount     = 10
	// steadyPeriod is how long slowUpstream and longJobs run before the disturbance.
	steadyPeriod = 5 * time.Second
	shortClass   = "short"
	longClass    = "long"
	deadlyClass  = "deadly"
	deadlyPath   = "/deadly"
)

type (
	// pattern is a load pattern.
	pattern struct {
		streams   []*kqopenloop.Stream
		behaviour kqupstream.Behaviour
		// change is applied at changeAt to the upstreams of the first servers, as many as
		// changed, if set.
		change   func(*kqupstream.Upstream)
		changed  int
		changeAt time.Duration
		windows  []window
		// length is how long calls are scheduled.
		length time.Duration
	}

	// window is a period of a run. The results of a class's calls that are scheduled in
	// it are also reported separately.
	window struct {
		name     string
		class    string
		from, to time.Duration
	}
)

var (
	errNotReady = errors.New("fleet does not answer all warm-up calls")

	healthy  = kqupstream.Behaviour{Work: serviceTime}
	patterns = map[string]pattern{
		"burst":         burst(),
		"hot_caller":    hotCaller(),
		"slow_upstream": slowUpstream(),
		"long_jobs":     longJobs(),
		"overload":      overload(),
		"some_limited":  limited(2, 24),
		"all_limited":   limited(servers, 24),
		"deadly":        deadlyRequest(),
	}
)

// Patterns returns the names of all load patterns.
func Patterns() []string { return slices.Sorted(maps.Keys(patterns)) }

// burst multiplies the load by 5 for 2 s, from 30% of capacity to 150%.
func burst() pattern {
	return pattern{
		streams: []*kqopenloop.Stream{shortStream(1, phase(4*time.Second, 0.3), phase(2*time.Second, 1.5), phase(6*time.Second, 0.3))},
		windows: []window{
			{"before", shortClass, time.Second, 4 * time.Second},
			{"during", shortClass, 4 * time.Second, 6 * time.Second},
			{"from_3s_after", shortClass, 9 * time.Second, 12 * time.Second},
		},
		behaviour: healthy, length: 12 * time.Second,
	}
}

// hotCaller has ten callers that together use 70% of capacity in equal shares; after
// 3 s one of them sends 10 times its share.
func hotCaller() pattern {
	p := pattern{behaviour: healthy, length: 13 * time.Second, windows: []window{
		{"before", shortClass, time.Second, 3 * time.Second},
		{"hot", shortClass, 3 * time.Second, 13 * time.Second},
	}}
	for i := range callerCount {
		share := 0.07
		if i == 0 {
			share = 0.7
		}
		p.streams = append(p.streams, shortStream(i+1, phase(3*time.Second, 0.07), phase(10*time.Second, share)))
	}
	return p
}

// slowUpstream has a load of 50% of capacity; after 5 s one upstream of six becomes 20
// times slower.
func slowUpstream() pattern {
	return pattern{
		streams:   []*kqopenloop.Stream{shortStream(1, phase(16*time.Second, 0.5))},
		behaviour: healthy, length: 16 * time.Second,
		change:   func(u *kqupstream.Upstream) { u.SetBehaviour(kqupstream.Behaviour{Work: 20 * serviceTime}) },
		changeAt: steadyPeriod, changed: 1,
		windows: []window{
			{"healthy", shortClass, time.Second, steadyPeriod},
			{"first_5s", shortClass, steadyPeriod, 2 * steadyPeriod},
			{"after_5s", shortClass, 2 * steadyPeriod, 16 * time.Second},
		},
	}
}

// longJobs has short calls at 25% of capacity; after 5 s, calls that take 15 times
// as long use another 40%.
func longJobs() pattern {
	rate := 0.4 * float64(servers*slots) / longServiceTime.Seconds()
	return pattern{
		streams: []*kqopenloop.Stream{
			shortStream(1, phase(15*time.Second, 0.25)),
			{Caller: caller(2), Class: longClass, Host: service, Path: longPath, Phases: []kqopenloop.Phase{{Length: steadyPeriod}, {Length: 10 * time.Second, Rate: rate}}},
		},
		behaviour: kqupstream.Behaviour{Work: serviceTime, LongPath: longPath, LongWork: longServiceTime}, length: 15 * time.Second,
		windows: []window{
			{"short_alone", shortClass, time.Second, steadyPeriod},
			{"short_beside_long", shortClass, steadyPeriod, 15 * time.Second},
			{"long", longClass, steadyPeriod, 15 * time.Second},
		},
	}
}

// overload is three times the capacity for 10 s.
func overload() pattern {
	p := pattern{behaviour: healthy, length: 10 * time.Second}
	for i := range callerCount {
		p.streams = append(p.streams, shortStream(i+1, phase(10*time.Second, 3.0/callerCount)))
	}
	return p
}

// limited has a load of 50% of capacity; after 5 s, some upstreams name a limit in calls a
// second. It leaves room at the others unless all of them do.
func limited(count int, limit float64) pattern {
	return pattern{
		streams:   []*kqopenloop.Stream{shortStream(1, phase(16*time.Second, 0.5))},
		behaviour: healthy, length: 16 * time.Second,
		change: func(u *kqupstream.Upstream) {
			u.SetBehaviour(kqupstream.Behaviour{Work: serviceTime, Limited: true, Limit: limit})
		},
		changed: count, changeAt: steadyPeriod,
		windows: []window{
			{"unlimited", shortClass, time.Second, steadyPeriod},
			{"limited", shortClass, steadyPeriod, 16 * time.Second},
		},
	}
}

// deadlyRequest has a load of 25% of capacity; after 5 s, ten callers repeat a request that ends
// each upstream that runs it, twice a second each. Upstreams that end do not come back.
func deadlyRequest() pattern {
	p := pattern{
		streams:   []*kqopenloop.Stream{shortStream(1, phase(16*time.Second, 0.25))},
		behaviour: kqupstream.Behaviour{Work: serviceTime, Deadly: deadlyPath}, length: 16 * time.Second,
		windows: []window{
			{"before", shortClass, time.Second, steadyPeriod},
			{"first_second", shortClass, steadyPeriod, steadyPeriod + time.Second},
			{"beside_deadly", shortClass, steadyPeriod + time.Second, 16 * time.Second},
			{"deadly", deadlyClass, steadyPeriod, 16 * time.Second},
		},
	}
	for i := range callerCount {
		p.streams = append(p.streams, &kqopenloop.Stream{
			Caller: caller(i + 2), Class: deadlyClass, Host: service, Path: deadlyPath,
			Phases: []kqopenloop.Phase{{Length: steadyPeriod}, {Length: 11 * time.Second, Rate: 2}},
		})
	}
	return p
}

// maxAnswers returns how many short calls the upstreams can answer during the pattern.
func (p pattern) maxAnswers() float64 { return capacity * p.length.Seconds() }

func (w window) includes(s kqopenloop.Sample) bool {
	return s.Stream.Class == w.class && s.ScheduledAt >= w.from && s.ScheduledAt < w.to
}

func shortStream(number int, phases ...kqopenloop.Phase) *kqopenloop.Stream {
	return &kqopenloop.Stream{Caller: caller(number), Class: shortClass, Host: service, Path: "/", Phases: phases}
}

func caller(number int) string { return fmt.Sprintf("127.0.1.%d", number) }

// phase returns a phase whose rate is a share of capacity.
func phase(length time.Duration, share float64) kqopenloop.Phase {
	return kqopenloop.Phase{Length: length, Rate: share * capacity}
}
