package kqentry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqallowance"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqinbound"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqretry"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqshed"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// shardCount is the number of locks among which services, and also returning callers,
	// are divided.
	shardCount = 16
	// clientIdleTimeout is how long a gate's client is kept after its last connection
	// has closed.
	clientIdleTimeout = time.Minute
	// failureStatus is the lowest HTTP status that counts as the upstream's failure.
	failureStatus = 500
)

type (
	shard struct {
		mu       sync.RWMutex
		services map[kqname.Service]*service
	}

	// service is the entry's state for one service, guarded by its own lock.
	service struct {
		mu      sync.Mutex
		random  *rand.Rand
		pool    *kqpick.Pool
		shedder *kqshed.Shedder
		// budgets holds this node's retry budget for each depth of calls, nil until the
		// first call of that depth.
		budgets [kqcall.MaxDepth + 1]*kqretry.Budget
		// allowance replaces the budgets if operators set a limit on retries over all
		// nodes. nodeCount returns the number of nodes.
		allowance *kqallowance.Allowance
		nodeCount func() int
	}

	// gateClients holds the connections to other nodes' gates.
	gateClients struct {
		dial      fasthttp.DialFunc
		memory    kqsend.Memory
		mu        sync.RWMutex
		byAddress map[kqname.Address]*gateClient
	}

	// gateClient holds the connections to one gate; used is when it last had any.
	gateClient struct {
		*kqsend.Client
		used time.Time
	}
)

// service returns the state of a service, creating it at the first call. Only configured
// services are looked up, so the configuration bounds their number.
func (e *Entry) service(name kqname.Service) *service {
	s := &e.shards[xxhash.Sum64String(string(name))%shardCount]
	s.mu.RLock()
	found, ok := s.services[name]
	s.mu.RUnlock()
	if ok {
		return found
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok = s.services[name]; !ok {
		found = &service{
			random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			pool:    kqpick.New(e.domain, kqpick.WithUniform(e.baseline)),
			shedder: kqshed.New(),
		}
		if e.nodeCount != nil {
			found.allowance, found.nodeCount = kqallowance.New(e.bound), e.nodeCount
		}
		s.services[name] = found
	}
	return found
}

// admit counts a call for the retry limits and for load shedding, and returns the reason for
// which it is refused: it cannot end in time, or load shedding refuses it. It returns NoReason
// if it is admitted. The baseline refuses none.
func (s *service) admit(c *kqcall.Call, baseline bool, now time.Time) kqcall.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allowance != nil {
		if c.Repeat {
			s.allowance.RecordRepeat(s.nodeCount())
		} else {
			s.allowance.Earn(s.nodeCount())
		}
	} else {
		s.budgetFor(c.Depth).Earn()
	}
	switch {
	case baseline:
		return kqcall.NoReason
	case s.cannotEndInTime(c, now):
		return kqcall.NotStartedInTime
	case s.shedder.For(c.Workspace, now).ShouldShed(c.EffectiveClass(), s.missesTarget(c, now), now, s.random):
		return kqcall.Overload
	default:
		return kqcall.NoReason
	}
}

// missesTarget reports whether the call can no longer meet its target, even if it takes the
// least time that an upstream's gate reported for calls of the route. It is false for
// nested calls and for calls without a target.
func (s *service) missesTarget(c *kqcall.Call, now time.Time) bool {
	return c.Depth == 0 && !c.Target.IsZero() && now.Add(s.pool.LeastWork(c.Route)).After(c.Target)
}

// cannotEndInTime reports whether a call with a workspace surely cannot end before its deadline:
// it has less than half of the least work left that an upstream's gate expects for calls of the
// route. Calls take less than half of their mean in about one case in fifty.
func (s *service) cannotEndInTime(c *kqcall.Call, now time.Time) bool {
	return c.Workspace != "" && now.Add(s.pool.LeastWork(c.Route)/2).After(c.Deadline)
}

// leastWork returns the least work that an upstream's gate expects for calls of the route, 0 if
// that is unknown.
func (s *service) leastWork(route kqname.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.LeastWork(route)
}

// pick returns the upstream for the next attempt, how to reach it, and the attempt's record.
// The upstream is nil if the criteria allow none whose node has not been tried.
func (s *service) pick(c *kqcall.Call, all []kqmember.Candidate, criteria kqpick.Criteria, tried []kqname.Node, now time.Time) (*kqpick.PoolUpstream, kqmember.Candidate, Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Set(all, now)
	p := s.pool.Pick(criteria, tried, now, s.random)
	if p == nil {
		return nil, kqmember.Candidate{}, Attempt{}
	}
	return p, p.Candidate, newAttempt(p, c, now)
}

// recordAttempt records how an attempt ended, and reports whether the upstream is now
// ejected.
func (s *service) recordAttempt(c *kqcall.Call, to *kqpick.PoolUpstream, o kqcall.Outcome, load kqcall.Load, hasLoad bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var known *kqcall.Load
	if hasLoad {
		load.Route = c.Route
		known = &load
	}
	failed := o.Result == kqcall.Answered && c.Response.StatusCode() >= failureStatus
	s.pool.Done(to, o, failed, known, now)
	return to.Ejected()
}

// spendRetry reports whether the retry limits allow sending a call with the outcome to
// another upstream, and if so counts the retry.
func (s *service) spendRetry(c *kqcall.Call, o kqcall.Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allowance != nil {
		return s.spendAllowance(c, o)
	}
	return s.budgetFor(c.Depth).Spend(o, c.Idempotent || retriesNonIdempotent)
}

// spendAllowance reports whether the operators' limit over all nodes allows another attempt,
// and if so counts the retry. A call that did not reach an upstream is not counted, and is
// retried only if that upstream takes no calls at all. For calls that a full gate refused,
// see hasSpareGate.
func (s *service) spendAllowance(c *kqcall.Call, o kqcall.Outcome) bool {
	switch {
	case o.Result == kqcall.NotRun && !reachedUpstream(o):
		return takesNoCalls(o.Reason)
	case o.Result == kqcall.NotRun:
		return s.allowance.Spend(s.nodeCount())
	case c.Starved:
		// A call nested in this one was refused for lack of capacity. Another upstream
		// would call the same overloaded service, fail as well, and hold a slot meanwhile.
		return false
	case !c.Idempotent || o.Reason == kqcall.Timeout || o.Reason == kqcall.Cancelled:
		return false
	case o.Result == kqcall.Answered && !isRetryableStatus(c.Response.StatusCode()):
		return false
	default:
		return s.allowance.Spend(s.nodeCount())
	}
}

// takesNoCalls reports whether the reason means that the upstream takes no calls at all,
// whatever its load.
func takesNoCalls(r kqcall.Reason) bool {
	switch r {
	case kqcall.Draining, kqcall.RolledBack, kqcall.Evacuated, kqcall.ConnectFailed, kqcall.NoUpstream:
		return true
	default:
		return false
	}
}

// isRetryableStatus reports whether another upstream may succeed where this one failed
// with the status. A call that ended with a gateway timeout is not retried, since its time
// is used up.
func isRetryableStatus(status int) bool {
	return status >= failureStatus && status != fasthttp.StatusGatewayTimeout
}

// recordRefusal counts for load shedding a call that was refused because gates were full. It
// counts once however many gates refused it: otherwise, after one second at capacity, the
// entry would shed most calls for many seconds although gates have free slots again.
func (s *service) recordRefusal(c *kqcall.Call, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedder.For(c.Workspace, now).RecordRefusal(c.EffectiveClass())
}

// hasSpareGate reports whether a call that a gate refused as full, cold or limited may be sent to another gate
// without counting as a retry: it has not reached an upstream, and another upstream seems
// to have a free slot. When the whole service is full, none seems to, so calls are not
// passed from gate to gate.
func (s *service) hasSpareGate(o kqcall.Outcome, criteria kqpick.Criteria, tried []kqname.Node, now time.Time) bool {
	if !isFull(o.Reason) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.HasFreeSlot(criteria, tried, now)
}

// budgetFor returns the retry budget of calls at that depth.
func (s *service) budgetFor(depth int) *kqretry.Budget {
	b := s.budgets[depth]
	if b == nil {
		b = kqretry.New(depth == 0)
		s.budgets[depth] = b
	}
	return b
}

func (c *gateClients) find(to kqname.Address) (*gateClient, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	found, ok := c.byAddress[to]
	return found, ok
}

// get returns the client of a gate, creating it at the first call.
func (c *gateClients) get(to kqname.Address) *kqsend.Client {
	found, ok := c.find(to)
	if ok {
		return found.Client
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if found, ok = c.byAddress[to]; !ok {
		found = &gateClient{Client: kqsend.New(to, kqsend.WithDialer(c.dial), kqsend.WithMemory(c.memory), kqsend.WithRequiredCallID(), kqsend.WithSilenceTimeout(), kqsend.WithAnnouncedBodies(kqinbound.LargeBody)), used: time.Now()}
		c.byAddress[to] = found
	}
	return found.Client
}

// close closes the idle connections to all gates.
func (c *gateClients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.byAddress {
		client.Close()
	}
}

// sweep closes connections that have been idle for too long, and deletes the clients of
// gates that have had no connection for clientIdleTimeout, since addresses change as nodes
// come and go.
func (c *gateClients) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to, client := range c.byAddress {
		if client.Sweep(now) > 0 {
			client.used = now
		}
		if now.Sub(client.used) > clientIdleTimeout {
			delete(c.byAddress, to)
		}
	}
}
