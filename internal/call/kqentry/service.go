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
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqretry"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqshed"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	shardCount = 16
	// clientIdle is how long a client without connections is kept.
	clientIdle = time.Minute
	// failureStatus is the lowest HTTP status that an upstream fails with.
	failureStatus = 500
)

type (
	shard struct {
		mu       sync.RWMutex
		services map[kqname.Service]*service
	}

	// service is what the entry has learnt of one service, under its own lock.
	service struct {
		mu      sync.Mutex
		random  *rand.Rand
		pool    *kqpick.Pool
		shedder *kqshed.Shedder
		budgets [kqcall.MaxDepth + 1]*kqretry.Budget
		// allowance takes the budgets' place where operators bound all nodes
		// together; nodes is their number.
		allowance *kqallowance.Allowance
		nodes     func() int
	}

	clients struct {
		dial fasthttp.DialFunc
		mu   sync.RWMutex
		held map[kqname.Address]*client
	}

	client struct {
		*kqsend.Client
		used time.Time
	}
)

// service returns what is known of a service. Services come from the
// configuration alone, so their number is bounded by it.
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
			pool:    kqpick.New(e.domain, kqpick.WithPlain(e.baseline)),
			shedder: kqshed.New(),
		}
		if e.nodes != nil {
			found.allowance, found.nodes = kqallowance.New(e.bound), e.nodes
		}
		s.services[name] = found
	}
	return found
}

// begin counts a call, and reports false if it is refused for overload.
func (s *service) begin(c *kqcall.Call, baseline bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allowance != nil {
		if c.Repeat {
			s.allowance.Repeated(s.nodes())
		} else {
			s.allowance.Earn(s.nodes())
		}
	} else {
		s.budget(c.Depth).Earn()
	}
	return baseline || !s.shedder.Refuse(c.Class, s.tardy(c, now), now, s.random)
}

// tardy reports whether the call cannot make its target any more, by the least time that
// an upstream's gate told of the route's calls.
func (s *service) tardy(c *kqcall.Call, now time.Time) bool {
	return c.Depth == 0 && !c.Target.IsZero() && now.Add(s.pool.Work(c.Route)).After(c.Target)
}

func (s *service) pick(c *kqcall.Call, all []kqmember.Candidate, target kqpick.Target, tried []kqname.Node, now time.Time) (*kqpick.Peer, kqmember.Candidate, Try) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Set(all, now)
	p := s.pool.Pick(target, tried, now, s.random)
	if p == nil {
		return nil, kqmember.Candidate{}, Try{}
	}
	return p, p.Candidate, chosen(p, c, now)
}

// done takes in how a try ended, and reports whether the upstream is left out from
// then on.
func (s *service) done(c *kqcall.Call, to *kqpick.Peer, o kqcall.Outcome, load kqcall.Load, told bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var known *kqcall.Load
	if told {
		load.Route = c.Route
		known = &load
	}
	failed := o.Result == kqcall.Answered && c.Response.StatusCode() >= failureStatus
	s.pool.Done(to, o, failed, known, now)
	return to.Ejected()
}

// again reports whether a call may be sent to another upstream, and counts it.
func (s *service) again(c *kqcall.Call, o kqcall.Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allowance != nil {
		return s.mayRepeat(c, o)
	}
	return s.budget(c.Depth).Spend(o, c.Idempotent || repeatsAll)
}

// mayRepeat reports whether a call may go to another upstream by the operators'
// bound. What only a gate refused has not been at an upstream and is not counted.
func (s *service) mayRepeat(c *kqcall.Call, o kqcall.Outcome) bool {
	switch {
	case o.Result == kqcall.NotRun && !reached(o):
		return unreachable(o.Reason)
	case o.Result == kqcall.NotRun:
		return s.allowance.Spend(s.nodes())
	case c.Starved:
		// Another upstream would ask the same service for the same, in vain as well, and
		// hold a slot meanwhile.
		return false
	case !c.Idempotent || o.Reason == kqcall.Timeout || o.Reason == kqcall.Cancelled:
		return false
	case o.Result == kqcall.Answered && !repeatable(c.Response.StatusCode()):
		return false
	default:
		return s.allowance.Spend(s.nodes())
	}
}

// unreachable reports whether the reason tells that the upstream takes no calls,
// whatever the load.
func unreachable(r kqcall.Reason) bool {
	switch r {
	case kqcall.Draining, kqcall.RolledBack, kqcall.ConnectFailed, kqcall.NoUpstream:
		return true
	default:
		return false
	}
}

// repeatable reports whether an upstream's answer tells of a failure that another
// upstream may not have. One that ran into the deadline has used up the time.
func repeatable(status int) bool {
	return status >= failureStatus && status != fasthttp.StatusGatewayTimeout
}

// refused counts a call that no gate had room for, once however many were asked.
// Counted at each gate, one full second would make the entry refuse most calls
// for many seconds after the gates have room again.
func (s *service) refused(c *kqcall.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedder.Refused(c.Class)
}

// elsewhere reports whether a call that a gate had no room for may go to another
// gate beside the retry budget: it has not been at an upstream, and there is one
// that seems to have a slot free. While the whole service is full there is none,
// and refused calls do not go round.
func (s *service) elsewhere(o kqcall.Outcome, target kqpick.Target, tried []kqname.Node, now time.Time) bool {
	if o.Reason != kqcall.QueueFull {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Spare(target, tried, now)
}

func (s *service) budget(depth int) *kqretry.Budget {
	b := s.budgets[depth]
	if b == nil {
		b = kqretry.New(depth == 0)
		s.budgets[depth] = b
	}
	return b
}

func (c *clients) find(to kqname.Address) (*client, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	found, ok := c.held[to]
	return found, ok
}

func (c *clients) get(to kqname.Address) *kqsend.Client {
	found, ok := c.find(to)
	if ok {
		return found.Client
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if found, ok = c.held[to]; !ok {
		found = &client{Client: kqsend.New(to, kqsend.WithDialer(c.dial), kqsend.WithEcho(), kqsend.WithSilenceTimeout()), used: time.Now()}
		c.held[to] = found
	}
	return found.Client
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range c.held {
		one.Close()
	}
}

// sweep closes idle connections. A gate without any for a while is forgotten:
// addresses come and go with the fleet.
func (c *clients) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to, one := range c.held {
		if one.Sweep(now) > 0 {
			one.used = now
		}
		if now.Sub(one.used) > clientIdle {
			delete(c.held, to)
		}
	}
}
