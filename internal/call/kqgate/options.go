package kqgate

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqdisconnect"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/call/kqnesting"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqfifo"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqgrace"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// WithRecorder sets the recorder that gets a record of each call.
func WithRecorder(r Recorder) Option { return func(g *Gate) { g.recorder = r } }

// WithConditionRecorder sets the recorder of what upstreams say of themselves.
func WithConditionRecorder(r ConditionRecorder) Option { return func(g *Gate) { g.conditions = r } }

// WithCounter sets the counter of outcomes.
func WithCounter(c Counter) Option { return func(g *Gate) { g.counter = c } }

// WithGuard refuses calls to the versions that guard refuses.
func WithGuard(guard Guard) Option { return func(g *Gate) { g.guard = guard } }

// WithEvacuation sets the function that reports whether the gate's failure domain is
// evacuated. The gate then refuses all calls.
func WithEvacuation(evacuated func() bool) Option { return func(g *Gate) { g.evacuated = evacuated } }

// WithGrace sets what is left until the node ends, if it stops. Calls that would not end by then are
// refused.
func WithGrace(grace *kqgrace.Grace) Option { return func(g *Gate) { g.grace = grace } }

// WithRevocation sets the function that reports whether the API key of a call has been removed
// since its entry accepted it. Such a call is refused when it gets its slot.
func WithRevocation(isRevoked func(*kqcall.Call) bool) Option {
	return func(g *Gate) { g.isRevoked = isRevoked }
}

// WithDeparture sets the function that is called with each upstream that says in an answer
// that it leaves, and for which calls still come.
func WithDeparture(f func(kqlocal.Announcement, time.Time)) Option {
	return func(g *Gate) { g.onDeparture = f }
}

// WithColdStart sets the function that returns what the upstreams of a call's service bear
// while they are cold. By default there is no bound.
func WithColdStart(coldStart func(*kqcall.Call) ColdStart) Option {
	return func(g *Gate) { g.coldStart = coldStart }
}

// WithObserver sets the observer of the results of calls.
func WithObserver(o Observer) Option { return func(g *Gate) { g.observer = o } }

// WithWithdrawer sets the Withdrawer for upstreams that accept no connections.
func WithWithdrawer(w Withdrawer) Option { return func(g *Gate) { g.withdrawer = w } }

// WithBodyBacklog sets the function that returns how long a large body from another node would
// have to wait for the server's link. Calls with such bodies report it as their wait.
func WithBodyBacklog(f func(now time.Time) time.Duration) Option {
	return func(g *Gate) { g.bodyBacklog = f }
}

// WithMemory makes connections to upstreams reserve their memory from m.
func WithMemory(m kqsend.Memory) Option { return func(g *Gate) { g.memory = m } }

// WithDialect sets the dialect that upstreams use instead of this project's headers.
func WithDialect(d kqcall.Dialect) Option { return func(g *Gate) { g.dialect = d } }

// WithSupervisor sets the supervisor that recovers panics, so that a panic ends only its own
// call.
func WithSupervisor(s *kqsupervisor.Supervisor) Option { return func(g *Gate) { g.supervisor = s } }

// WithNesting records in c the calls that the upstreams are running, so that calls which
// the upstreams make on their behalf are recognized as nested.
func WithNesting(c *kqnesting.Calls) Option { return func(g *Gate) { g.nesting = c } }

// WithExactSlots makes the gate run exactly as many calls at once as an upstream announces
// slots, instead of learning a lower limit from its latency.
func WithExactSlots() Option {
	return func(g *Gate) {
		g.queue = func(slots int, address kqname.Address) queue {
			return kqslots.New(slots, saltOf(address), kqslots.WithFixedLimit())
		}
	}
}

// WithBaseline queues calls first come, first served, as the baseline for measurements.
func WithBaseline() Option {
	return func(g *Gate) { g.queue = func(slots int, _ kqname.Address) queue { return kqfifo.New(slots) } }
}

// WithDisconnectWatcher sets the watcher that detects callers' disconnects.
func WithDisconnectWatcher(w *kqdisconnect.Watcher) Option { return func(g *Gate) { g.watcher = w } }
