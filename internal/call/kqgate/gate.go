// Package kqgate stands in front of a node's own upstream and is the only way
// to it. It knows the upstream's slots exactly, can tell with certainty that a
// call did not run, and stops new work for a leaving upstream at once.
package kqgate

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	queuePerSlot   = 10
	maxConnections = 100
	idleConnection = 10 * time.Second
)

type (
	// Finder finds the local upstream of a service and version.
	Finder interface {
		Find(service kqname.Service, version kqname.UpstreamVersion) (kqlocal.Announcement, bool)
	}

	// Observer is told how each call that reached the upstream went.
	Observer interface {
		Observe(o Observation)
	}

	// Guard says which upstream versions get no calls.
	Guard interface {
		Refuses(service kqname.Service, version kqname.UpstreamVersion) bool
	}

	// Observation is one call as its gate saw it.
	Observation struct {
		Service kqname.Service
		Version kqname.UpstreamVersion
		Route   kqname.Route
		Outcome kqcall.Outcome
		// Status is the upstream's HTTP status, 0 where it gave none.
		Status int
		// Began is when the call was sent to the upstream; Took is how long
		// the upstream had it.
		Began time.Time
		Took  time.Duration
	}

	// Gate admits calls to local upstreams. It is safe for concurrent use.
	Gate struct {
		local    Finder
		observer Observer
		guard    Guard
		now      func() time.Time

		mu        sync.Mutex
		upstreams map[kqname.Address]*upstream
		running   sync.WaitGroup
	}

	// Option sets up a Gate.
	Option func(*Gate)

	upstream struct {
		slots  *kqslots.Slots
		client *fasthttp.HostClient
	}

	nobody struct{}
)

// Observe implements Observer.
func (nobody) Observe(Observation) {}

// Refuses implements Guard.
func (nobody) Refuses(kqname.Service, kqname.UpstreamVersion) bool { return false }

// WithGuard refuses calls to the versions that guard names.
func WithGuard(guard Guard) Option { return func(g *Gate) { g.guard = guard } }

// WithObserver tells o of each call.
func WithObserver(o Observer) Option { return func(g *Gate) { g.observer = o } }

// New returns a gate to the upstreams that local finds.
func New(local Finder, options ...Option) *Gate {
	g := &Gate{local: local, observer: nobody{}, guard: nobody{}, now: time.Now, upstreams: make(map[kqname.Address]*upstream)}
	for _, o := range options {
		o(g)
	}
	return g
}

// Serve answers calls that other nodes send to this one's gate. The upstream
// beside it is spoken to in plain HTTP: with the scheme of a connection under
// TLS the client would refuse to send, and each call would end as cut.
func (g *Gate) Serve(ctx *fasthttp.RequestCtx) {
	ctx.Request.URI().SetScheme("http")
	c, err := kqcall.Read(&ctx.Request, &ctx.Response, g.now())
	if err != nil {
		c = &kqcall.Call{Request: &ctx.Request, Response: &ctx.Response}
		c.Answer(kqcall.Refuse(kqcall.Malformed))
		return
	}
	c.Answer(g.Do(c))
}

// Do runs a call at the local upstream and fills in its response.
func (g *Gate) Do(c *kqcall.Call) kqcall.Outcome {
	g.running.Add(1)
	defer g.running.Done()
	a, ok := g.local.Find(c.Service, c.Version)
	if !ok {
		return kqcall.Refuse(kqcall.NoUpstream)
	}
	if a.Draining {
		return kqcall.Refuse(kqcall.Draining)
	}
	if g.guard.Refuses(c.Service, a.Version) {
		return kqcall.Refuse(kqcall.RolledBack)
	}
	u := g.upstream(a)
	if o := g.admit(u, c); o.Result != kqcall.Answered {
		return o
	}
	defer func() { u.slots.Leave(g.now()) }()
	began := g.now()
	o := send(u.client, c)
	g.observer.Observe(Observation{
		Service: c.Service, Version: a.Version, Route: c.Route, Outcome: o,
		Status: c.Response.StatusCode(), Began: began, Took: g.now().Sub(began),
	})
	return o
}

// Wait returns once no call is running.
func (g *Gate) Wait() { g.running.Wait() }

func (g *Gate) admit(u *upstream, c *kqcall.Call) kqcall.Outcome {
	t := u.slots.Enter(g.now(), c.Deadline)
	timer := time.NewTimer(c.Deadline.Sub(g.now()))
	defer timer.Stop()
	select {
	case <-t.Ready:
	case <-timer.C:
		if !u.slots.Abandon(t) {
			<-t.Ready
		}
	}
	return t.Outcome
}

func (g *Gate) upstream(a kqlocal.Announcement) *upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	u, ok := g.upstreams[a.Address]
	if !ok {
		u = &upstream{
			slots: kqslots.New(a.Slots, a.Slots*queuePerSlot),
			client: &fasthttp.HostClient{
				Addr: string(a.Address), MaxConns: maxConnections, MaxIdleConnDuration: idleConnection,
				// The library would send an idempotent call again by itself;
				// sending again is the retry budget's decision.
				MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
				NoDefaultUserAgentHeader: true,
			},
		}
		g.upstreams[a.Address] = u
	}
	return u
}

func send(client *fasthttp.HostClient, c *kqcall.Call) kqcall.Outcome {
	err := client.DoDeadline(c.Request, c.Response, c.Deadline)
	return Judge(c, err)
}

// Judge tells how an exchange that returned err ended.
func Judge(c *kqcall.Call, err error) kqcall.Outcome {
	var op *net.OpError
	switch {
	case err == nil && c.RefusalMeansNotRun && c.Response.StatusCode() == fasthttp.StatusServiceUnavailable:
		return kqcall.Refuse(kqcall.Shed)
	case err == nil:
		return kqcall.OK()
	case errors.As(err, &op) && op.Op == "dial", errors.Is(err, fasthttp.ErrDialTimeout), errors.Is(err, fasthttp.ErrNoFreeConns):
		return kqcall.Refuse(kqcall.ConnectFailed)
	case errors.Is(err, fasthttp.ErrTimeout):
		return kqcall.Lose(kqcall.Timeout)
	default:
		return kqcall.Lose(kqcall.Cut)
	}
}
