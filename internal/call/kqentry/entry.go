package kqentry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/base/kqkeeper"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqhangup"
	"github.com/kumquatgw/kumquatgw/internal/call/kqnesting"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqallowance"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqreturn"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	defaultTimeout = 10 * time.Second
	configWait     = 2 * time.Second
	maxTries       = 3
	// awayFor is what callers of a node that ends are told: about as long as it
	// takes to end and start again.
	awayFor = 2 * time.Second
	// retryAfter is what refused callers are told that no gate has told more of, as
	// long as a gate tells at least.
	retryAfter = 250 * time.Millisecond
	// part is the entry's name in what is noted of it.
	part = "entry"
	// maxGates bounds how many gates one call is offered to. Each costs about a
	// tenth of a millisecond of processor time on two servers.
	maxGates = 6
)

type (
	// Configuration gives the snapshot that holds a host's routes.
	Configuration interface {
		Want(ctx context.Context, host kqname.Host, now time.Time) (*kqsnapshot.Snapshot, error)
	}

	// Directory gives the upstreams of a service that take new work.
	Directory interface {
		Upstreams(service kqname.Service) []kqmember.Candidate
	}

	// Splitter says which upstreams of a service a call may go to.
	Splitter interface {
		Split(service kqresource.Service, call *kqcall.Call) kqpick.Target
	}

	// Local runs calls at this node's own upstream.
	Local interface {
		Do(c *kqcall.Call) (kqcall.Outcome, kqcall.Load)
	}

	// Counter counts how calls ended and why calls were sent again.
	Counter interface {
		Ended(o kqcall.Outcome)
		Retried(r kqcall.Reason)
	}

	// Entry serves calls. It is safe for concurrent use.
	Entry struct {
		self      kqname.Node
		domain    kqname.Domain
		config    Configuration
		directory Directory
		local     Local
		splitter  Splitter
		counter   Counter
		hangup    *kqhangup.Watch
		forged    func()
		baseline  bool
		dialect   kqcall.Dialect
		recorder  Recorder
		keeper    *kqkeeper.Keeper
		// bound is what operators allow of second sendings over all nodes, whose
		// number is nodes; nil nodes keeps to this program's own budget.
		bound    kqallowance.Bound
		nodes    func() int
		origin   kqname.Service
		leaving  atomic.Bool
		refusing atomic.Bool
		// arrived is when the last call came, in nanoseconds since began: counted
		// by the time of day, a step of the clock would pass for silence.
		arrived atomic.Int64
		began   time.Time
		// calls is how many are under way.
		calls atomic.Int64
		now   func() time.Time
		// nesting knows the calls that the local upstream works on.
		nesting *kqnesting.Calls
		// returns knows callers from outside who come back.
		returns returns

		prefix  string
		number  atomic.Uint64
		shards  [shardCount]shard
		clients clients
	}

	// Option sets up an Entry.
	Option func(*Entry)

	// flight is what one call needs beside its request, in one piece of memory.
	flight struct {
		call   kqcall.Call
		cancel kqcall.Cancel
		line   kqhangup.Line
		// version and tries are for the record.
		version kqname.ConfigVersion
		tries   []Try
		// sent tells that an upstream may have been sent the call.
		sent bool
		// first is since when the caller has been asking, patience until when it waits,
		// where it tells, and key who asks for what.
		first, patience time.Time
		key             kqreturn.Key
	}

	stable struct{}
	silent struct{}
)

// Split implements Splitter.
func (stable) Split(s kqresource.Service, _ *kqcall.Call) kqpick.Target {
	return kqpick.Target{Version: s.Service.Version}
}

// Ended implements Counter.
func (silent) Ended(kqcall.Outcome) {}

// Retried implements Counter.
func (silent) Retried(kqcall.Reason) {}

// WithSplitter lets rollouts share out the calls.
func WithSplitter(s Splitter) Option { return func(e *Entry) { e.splitter = s } }

// WithCounter counts ends and retries.
func WithCounter(c Counter) Option { return func(e *Entry) { e.counter = c } }

// WithDomain tells the entry's failure domain, whose upstreams it prefers.
func WithDomain(d kqname.Domain) Option { return func(e *Entry) { e.domain = d } }

// WithHangup has w look after the connections that calls come on.
func WithHangup(w *kqhangup.Watch) Option { return func(e *Entry) { e.hangup = w } }

// WithForged is told of each call from outside that carried headers of ours.
func WithForged(f func()) Option { return func(e *Entry) { e.forged = f } }

// WithDialer replaces plain TCP to other nodes' gates. Its errors must come
// before a byte of a call is sent.
func WithDialer(dial fasthttp.DialFunc) Option { return func(e *Entry) { e.clients.dial = dial } }

// WithDialect sets what callers and upstreams speak in place of our headers.
func WithDialect(d kqcall.Dialect) Option { return func(e *Entry) { e.dialect = d } }

// WithKeeper has a call that panics end alone.
func WithKeeper(k *kqkeeper.Keeper) Option { return func(e *Entry) { e.keeper = k } }

// WithOrigin tells the service beside whose upstream the entry stands.
func WithOrigin(s kqname.Service) Option { return func(e *Entry) { e.origin = s } }

// WithBound keeps second sendings within what operators allow for each service
// over all nodes.
func WithBound(b kqallowance.Bound, nodes func() int) Option {
	return func(e *Entry) { e.bound, e.nodes = b, nodes }
}

// WithNesting has calls of the local upstream known by the calls that it works on.
func WithNesting(c *kqnesting.Calls) Option { return func(e *Entry) { e.nesting = c } }

// WithBaseline chooses at random and retries without a budget, for measurements.
func WithBaseline() Option { return func(e *Entry) { e.baseline = true } }

// New returns an entry of the node self.
func New(self kqname.Node, config Configuration, directory Directory, local Local, options ...Option) *Entry {
	e := &Entry{
		self: self, config: config, directory: directory, local: local,
		splitter: stable{}, counter: silent{}, recorder: forgetful{}, hangup: kqhangup.New(), forged: func() {}, began: time.Now(), now: time.Now,
		// Two nodes, or one before and after a restart, never give out the same id.
		prefix:  strconv.FormatUint(rand.Uint64(), 36) + "-",
		returns: newReturns(), nesting: kqnesting.New(),
	}
	for _, o := range options {
		o(e)
	}
	for i := range e.shards {
		e.shards[i].services = make(map[kqname.Service]*service)
	}
	e.clients.held = make(map[kqname.Address]*client)
	if e.clients.dial == nil {
		e.clients.dial = kqsend.DialNode
	}
	return e
}
