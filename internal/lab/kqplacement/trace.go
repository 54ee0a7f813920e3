package kqplacement

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minWork and maxWork bound the work of a call at usual speed 1.
	minWork, maxWork = 140 * time.Millisecond, 190 * time.Millisecond
	// minSpeed and maxSpeed bound the speeds of upstreams.
	minSpeed, maxSpeed = 0.6, 1.7
	// slowShare is the share of time in which an upstream is slowFactor times slower, for
	// slowFor at a time.
	slowShare  = 0.15
	slowFactor = 2.5
	slowFor    = 600 * time.Millisecond
)

type (
	// trace is what a simulation plays, drawn before any choice is made.
	trace struct {
		arrivals  []arrival
		upstreams []speedTrace
	}

	arrival struct {
		at    time.Duration
		entry int
		work  time.Duration
	}

	// speedTrace is an upstream's speed over time: its usual one and the starts of its slow
	// periods.
	speedTrace struct {
		speed float64
		slow  []time.Duration
	}
)

// draw returns the trace of the settings.
func draw(s Settings) trace {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	length := s.Warmup + s.Length
	var tr trace
	capacity := 0.0
	for i := range s.Upstreams {
		u := speedTrace{speed: minSpeed + (maxSpeed-minSpeed)*float64(i)/float64(max(s.Upstreams-1, 1))}
		capacity += float64(s.Slots) * u.speed / ((minWork + maxWork) / 2).Seconds()
		meanGap := slowFor.Seconds() * (1 - slowShare) / slowShare
		gap := func() time.Duration { return time.Duration(random.ExpFloat64() * meanGap * float64(time.Second)) }
		for at := gap(); at < length && s.HasSlowPeriods; at += slowFor + gap() {
			u.slow = append(u.slow, at)
		}
		tr.upstreams = append(tr.upstreams, u)
	}
	random.Shuffle(len(tr.upstreams), func(i, j int) {
		tr.upstreams[i], tr.upstreams[j] = tr.upstreams[j], tr.upstreams[i]
	})
	if s.HasSlowPeriods {
		capacity *= 1 - slowShare + slowShare/slowFactor
	}
	// Arrivals of a Poisson process at the greatest rate are thinned by the wave.
	peak := s.Load * capacity * (1 + s.Wave)
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() / peak * float64(time.Second)) {
		entry, keep := random.IntN(s.Entries), random.Float64()
		phase := at.Seconds()/s.wavePeriod().Seconds() + float64(entry%s.Domains)/float64(s.Domains)
		work := minWork + time.Duration(random.Float64()*float64(maxWork-minWork))
		if keep*(1+s.Wave) <= 1+s.Wave*math.Sin(2*math.Pi*phase) {
			tr.arrivals = append(tr.arrivals, arrival{at, entry, work})
		}
	}
	return tr
}

// slowdown returns how many times slower than usual the upstream is at the time, and until
// when at least.
func (u speedTrace) slowdown(at time.Duration) (factor float64, until time.Duration) {
	for _, since := range u.slow {
		if at < since {
			return 1, since
		}
		if at < since+slowFor {
			return slowFactor, since + slowFor
		}
	}
	return 1, math.MaxInt64
}

// finish returns when work that begins at the given time ends.
func (u speedTrace) finish(at, work time.Duration) time.Duration {
	left := time.Duration(float64(work) / u.speed)
	for {
		factor, until := u.slowdown(at)
		if takes := time.Duration(float64(left) * factor); takes <= until-at {
			return at + takes
		}
		left -= time.Duration(float64(until-at) / factor)
		at = until
	}
}
