package kqentry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqdisconnect"
	"github.com/kumquatgw/kumquatgw/internal/call/kqnesting"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqallowance"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqcallerretry"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqgrace"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// defaultTimeout applies to calls whose route and service state no timeout.
	defaultTimeout = 10 * time.Second
	// configTimeout bounds how long a call waits for its host's configuration.
	configTimeout = 2 * time.Second
	// defaultMaxAttempts applies to calls whose route states no number of attempts.
	defaultMaxAttempts = 3
	// defaultRetryAfter is the Retry-After of the entry's refusals for NoConfig, Overload,
	// NoUpstream and Panicked, and of those of gates without an upstream that takes calls. It is the
	// least that a gate gives.
	defaultRetryAfter = 250 * time.Millisecond
	// holdPoll is how often a held call is checked.
	holdPoll = 10 * time.Millisecond
	// component names the entry in reports of panics.
	component = "entry"
	// maxGates is the largest number of gates that one call is sent to. Each costs about
	// 0.1 ms of CPU time on the two servers involved.
	maxGates = 6
)

type (
	// Configuration provides the snapshot that holds a host's routes.
	Configuration interface {
		EnsureHost(ctx context.Context, host kqname.Host, now time.Time) (*kqsnapshot.Snapshot, error)
	}

	// Directory lists the upstreams of a service that take new work.
	Directory interface {
		Upstreams(service kqname.Service) []kqmember.Candidate
	}

	// Splitter decides which upstreams of a service a call may go to.
	Splitter interface {
		Split(service kqresource.Service, call *kqcall.Call) kqpick.Criteria
	}

	// Local runs calls at this node's own upstream.
	Local interface {
		Do(c *kqcall.Call) (kqcall.Outcome, kqcall.Load)
	}

	// Counter counts the outcomes of calls and the reasons for retries.
	Counter interface {
		Ended(o kqcall.Outcome)
		Retried(r kqcall.Reason)
	}

	// Entry serves calls. It is safe for concurrent use.
	Entry struct {
		self       kqname.Node
		domain     kqname.Domain
		config     Configuration
		directory  Directory
		local      Local
		splitter   Splitter
		counter    Counter
		watcher    *kqdisconnect.Watcher
		onForged   func()
		baseline   bool
		dialect    kqcall.Dialect
		recorder   Recorder
		supervisor *kqsupervisor.Supervisor
		// bound is the operators' limit on retries over all nodes, and nodeCount returns
		// the number of nodes. If nodeCount is nil, only this node's own retry budgets
		// apply.
		bound     kqallowance.Bound
		nodeCount func() int
		// origin is the service whose upstream runs on this entry's server.
		origin kqname.Service
		// grace is what is left until the node ends.
		grace *kqgrace.Grace
		// draining is set by Drain, refusing by RefuseAll.
		draining atomic.Bool
		refusing atomic.Bool
		// awaitsConfig is set by the first call for which the node had no configuration.
		awaitsConfig atomic.Bool
		// lastArrival is when the last call arrived, in nanoseconds since started. It is
		// not a wall-clock time, because a clock step could then look like an idle period.
		lastArrival atomic.Int64
		started     time.Time
		// calls is the number of calls in flight, without those whose response is being
		// streamed.
		calls atomic.Int64
		now   func() time.Time
		// nesting holds the calls that the local upstream is running.
		nesting *kqnesting.Calls
		// returningCallers remembers calls without a successful answer whose callers may
		// retry them.
		returningCallers returningCallers
		hints            hints
		quarantine       Quarantine
		// rates and freshness are nil if no option sets them.
		rates     Rates
		freshness Freshness
		// isRevoked reports whether the call's API key has been removed since it was accepted.
		isRevoked func(*kqcall.Call) bool

		idPrefix    string
		sequence    atomic.Uint64
		shards      [shardCount]shard
		gateClients gateClients
	}

	// Option configures an Entry.
	Option func(*Entry)

	// callState holds what one call needs besides its request, in a single allocation.
	callState struct {
		call kqcall.Call
		info kqcall.CallInfo
		// workspace is the one that the call came with a key of, nil if none, and admitted
		// is set if the call counts towards its rate.
		workspace *kqdocument.Workspace
		admitted  bool
		cancel    kqcall.Cancel
		watched   kqdisconnect.WatchedCall
		// version and sendAttempts are for the record.
		version      kqname.ConfigVersion
		sendAttempts []Attempt
		// sent reports whether an attempt is in progress or an earlier one may have run the
		// call.
		sent bool
		// parent is the call that this one is nested in, nil if it is unknown.
		parent *kqnesting.Parent
		// firstTry is when the caller first made this call. callerDeadline is when the
		// caller stops waiting, zero if it did not say. callKey identifies the caller and
		// its request.
		firstTry, callerDeadline time.Time
		callKey                  kqcallerretry.Key
	}

	// defaultSplitter sends every call to the service's configured version.
	defaultSplitter struct{}
	// noopCounter discards counts.
	noopCounter struct{}
)

// Split implements Splitter.
func (defaultSplitter) Split(s kqresource.Service, _ *kqcall.Call) kqpick.Criteria {
	return kqpick.Criteria{Version: s.Service.Version}
}

// Ended implements Counter.
func (noopCounter) Ended(kqcall.Outcome) {}

// Retried implements Counter.
func (noopCounter) Retried(kqcall.Reason) {}

// WithSplitter sets how calls are split between versions during rollouts.
func WithSplitter(s Splitter) Option { return func(e *Entry) { e.splitter = s } }

// WithCounter sets the counter of outcomes and retries.
func WithCounter(c Counter) Option { return func(e *Entry) { e.counter = c } }

// WithDomain sets the entry's failure domain, whose upstreams it prefers.
func WithDomain(d kqname.Domain) Option { return func(e *Entry) { e.domain = d } }

// WithDisconnectWatcher sets the watcher that detects callers' disconnects.
func WithDisconnectWatcher(w *kqdisconnect.Watcher) Option { return func(e *Entry) { e.watcher = w } }

// WithForgedHeadersHandler sets a function that runs for each call from outside that carries
// internal headers of this project.
func WithForgedHeadersHandler(f func()) Option { return func(e *Entry) { e.onForged = f } }

// WithDialer replaces plain TCP for connections to other nodes' gates. The dialer must
// complete any handshake, so that a call whose dial fails has certainly not run.
func WithDialer(dial fasthttp.DialFunc) Option { return func(e *Entry) { e.gateClients.dial = dial } }

// WithMemory makes connections to other nodes' gates reserve their memory from m.
func WithMemory(m kqsend.Memory) Option { return func(e *Entry) { e.gateClients.memory = m } }

// WithDialect sets the dialect that callers and upstreams use instead of this project's
// headers.
func WithDialect(d kqcall.Dialect) Option { return func(e *Entry) { e.dialect = d } }

// WithSupervisor sets the supervisor that recovers panics, so that a panic ends only its own
// call.
func WithSupervisor(s *kqsupervisor.Supervisor) Option { return func(e *Entry) { e.supervisor = s } }

// WithOrigin sets the service whose upstream runs on this entry's server.
func WithOrigin(s kqname.Service) Option { return func(e *Entry) { e.origin = s } }

// WithRetryBound limits retries of each service to what operators allow over all nodes.
func WithRetryBound(b kqallowance.Bound, nodeCount func() int) Option {
	return func(e *Entry) { e.bound, e.nodeCount = b, nodeCount }
}

// WithNesting sets the calls that the local upstream is running, by which the upstream's
// own calls are recognized as nested.
func WithNesting(c *kqnesting.Calls) Option { return func(e *Entry) { e.nesting = c } }

// WithGrace sets what is left until the node ends, if it stops. Calls that would not end by then are
// refused, but for nested ones, by whose parents that is decided.
func WithGrace(g *kqgrace.Grace) Option { return func(e *Entry) { e.grace = g } }

// WithBaseline makes the entry the baseline for measurements: it picks upstreams at random,
// sheds no load, and retries calls that did not run even beyond the retry limits.
func WithBaseline() Option { return func(e *Entry) { e.baseline = true } }

// New returns the entry of the node self.
func New(self kqname.Node, config Configuration, directory Directory, local Local, options ...Option) *Entry {
	e := &Entry{
		self: self, config: config, directory: directory, local: local,
		splitter: defaultSplitter{}, counter: noopCounter{}, recorder: noopRecorder{}, watcher: kqdisconnect.New(), onForged: func() {}, started: time.Now(), now: time.Now,
		// The random prefix keeps ids unique across nodes and across restarts of a node.
		idPrefix:         strconv.FormatUint(rand.Uint64(), 36) + "-",
		grace:            new(kqgrace.Grace),
		returningCallers: newReturningCallers(), hints: hints{byNode: make(map[kqname.Node]heldHint)}, nesting: kqnesting.New(), quarantine: noopQuarantine{},
		isRevoked: func(*kqcall.Call) bool { return false },
	}
	for _, o := range options {
		o(e)
	}
	for i := range e.shards {
		e.shards[i].services = make(map[kqname.Service]*service)
	}
	e.gateClients.byAddress = make(map[kqname.Address]*gateClient)
	if e.gateClients.dial == nil {
		e.gateClients.dial = kqsend.DialNode
	}
	return e
}

// newID returns an id that is unique among all nodes' calls.
func (e *Entry) newID(sequence uint64) kqcall.ID {
	var space [32]byte
	return kqcall.ID(strconv.AppendUint(append(space[:0], e.idPrefix...), sequence, 36))
}
