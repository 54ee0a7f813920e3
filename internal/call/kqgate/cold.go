package kqgate

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqcold"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// healthTimeout bounds a health check. An upstream that takes longer is not known to be
	// warm.
	healthTimeout = 250 * time.Millisecond
	// replaceDelay is the least time between the end of a process and the start of the one
	// that takes its place. An upstream that started later has got no calls from the former.
	replaceDelay = 300 * time.Millisecond
	// minColdRetryAfter is the least delay that callers refused by a cold upstream are given.
	minColdRetryAfter = 250 * time.Millisecond
)

type (
	// ColdStart is what the upstreams of a service bear while they are cold.
	ColdStart struct {
		// Bound is the number of calls that a cold upstream bears in any second; 0 means
		// that there is no bound.
		Bound int
		// Duration is how long an upstream is cold after its start, 0 if unknown.
		Duration time.Duration
		// HealthPath is where an upstream says whether it is cold, empty if unknown.
		HealthPath string
		// TrustsAnnouncements is set if an upstream counts as warm whenever its latest
		// announcement says so, since it has no health check.
		TrustsAnnouncements bool
	}

	// coldGuard keeps the calls to one local upstream within its cold start's bound.
	coldGuard struct {
		// checkMu is held during a health check, for whose result other calls wait.
		checkMu sync.Mutex
		client  *kqsend.Client

		mu        sync.Mutex
		limiter   *kqcold.Limiter
		instance  kqname.Instance
		startedMS int64
	}
)

func newColdGuard(address kqname.Address) *coldGuard {
	return &coldGuard{client: kqsend.New(address, kqsend.WithMaxConnections(1), kqsend.WithIdleTimeout(upstreamIdleTimeout),
		kqsend.WithResponseMatcher(func(*kqcall.Call) bool { return true }))}
}

// prepare brings the guard up to date with the upstream's announcement. coldUntil is the end
// of the cold start that the upstream has announced, and processStart when this process
// started.
func (g *coldGuard) prepare(s ColdStart, a kqlocal.Announcement, coldUntil, processStart, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.limiter == nil || g.limiter.Bound() != s.Bound:
		g.limiter = newLimiter(s, coldUntil.Sub(now), processStart, now)
	case g.instance != a.Instance || g.startedMS != a.StartedMS:
		// The latest calls may have reached the new start before it announced itself.
		g.limiter.Restart()
	}
	g.instance, g.startedMS = a.Instance, a.StartedMS
	switch {
	case now.Before(coldUntil):
		g.limiter.RecordCold(coldUntil)
	case s.TrustsAnnouncements:
		g.limiter.RecordWarm(now)
	}
}

// newLimiter returns the limiter of a start of an upstream that is cold for the given time.
// Unless that start is younger than this process, the calls of an earlier process count.
func newLimiter(s ColdStart, coldLeft time.Duration, processStart, now time.Time) *kqcold.Limiter {
	if coldLeft > 0 && s.Duration-coldLeft < now.Sub(processStart)+replaceDelay {
		return kqcold.New(s.Bound)
	}
	return kqcold.NewAfter(s.Bound, processStart)
}

// check returns the verdict on a call of the priority that arrives now, without counting it.
func (g *coldGuard) check(priority int, now time.Time) kqcold.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Check(priority, now)
}

// admit counts a call of the priority that is about to be sent, and reports whether it may be.
// It checks the upstream's health first if that is needed.
// heard is called with the condition and the load that the answer states.
func (g *coldGuard) admit(s ColdStart, priority int, d kqcall.Dialect, heard func(kqcall.Condition, kqcall.ServerReport), now func() time.Time) bool {
	v := g.count(priority, now())
	if v != kqcold.Unproven {
		return v == kqcold.Allowed
	}
	g.checkMu.Lock()
	defer g.checkMu.Unlock()
	// Another call may have checked meanwhile.
	if v = g.count(priority, now()); v != kqcold.Unproven {
		return v == kqcold.Allowed
	}
	g.checkHealth(s, d, heard, now())
	return g.count(priority, now()) == kqcold.Allowed
}

func (g *coldGuard) count(priority int, now time.Time) kqcold.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Admit(priority, now)
}

// forget takes back the latest call, which the upstream has not got.
func (g *coldGuard) forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Forget()
}

// checkHealth asks the upstream whether it is cold, and records its answer. Whether it is
// healthy does not matter. heard is called with the condition that the answer states.
func (g *coldGuard) checkHealth(s ColdStart, d kqcall.Dialect, heard func(kqcall.Condition, kqcall.ServerReport), now time.Time) {
	if s.HealthPath == "" {
		return
	}
	c := &kqcall.Call{Idempotent: true, Deadline: now.Add(healthTimeout), Request: fasthttp.AcquireRequest(), Response: fasthttp.AcquireResponse()}
	defer fasthttp.ReleaseRequest(c.Request)
	defer fasthttp.ReleaseResponse(c.Response)
	c.Request.Header.SetMethod(fasthttp.MethodGet)
	c.Request.Header.SetRequestURI(s.HealthPath)
	c.Request.Header.SetHost("localhost")
	if g.client.Do(c).Result != kqcall.Answered {
		return
	}
	health := kqcall.ReadHealth(d, &c.Response.Header)
	condition := kqcall.ReadCondition(d, &c.Response.Header)
	if g.record(health, now) {
		heard(condition, kqcall.ReadReport(d, &c.Response.Header))
	}
}

// record records an upstream's answer to a health check that was sent at the given time. It
// reports false if the answer is not that upstream's.
func (g *coldGuard) record(health kqcall.Health, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case health.Instance != g.instance:
		return false
	case health.ColdFor > 0:
		g.limiter.RecordCold(now.Add(health.ColdFor))
	default:
		g.limiter.RecordWarm(now)
	}
	return true
}

// fullLoad returns the load of an upstream that gets no further call at the moment. One call
// more counts as waiting, so that entries take the upstream as full.
func fullLoad(l kqcall.Load) kqcall.Load {
	l.Waiting++
	return l
}

// coldRefusal returns the outcome of a call that a cold upstream must not get now. Another one
// may bear it, and this one does again within its share of a second.
func coldRefusal() kqcall.Outcome {
	o := kqcall.Refuse(kqcall.Cold)
	o.RetryAfter = minColdRetryAfter
	return o
}
