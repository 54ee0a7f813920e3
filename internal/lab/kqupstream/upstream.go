package kqupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqresetlistener"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// ConditionPath is where an upstream takes a Condition from its lab.
	ConditionPath = "/-/condition"
	// HealthPath is where an upstream answers health checks.
	HealthPath = "/-/health"
)

// HeaderWorkID is the request header with the caller's work id. The answer to a call that
// ran echoes it, and the upstream counts the runs of each id.
const HeaderWorkID = "Work-Id"

const (
	// maxBody is the largest request body that an upstream accepts, in bytes: the
	// largest limit that settings allow for nodes.
	maxBody = 64 << 20
	// announceEvery is the interval between announcements, which renew the upstream at
	// its node.
	announceEvery = 500 * time.Millisecond
	// defaultDrainPeriod is how long an upstream keeps serving after Run's context has
	// ended; the users' upstreams do so for two seconds or more after the acknowledgement
	// of their drain. A call that the gate admitted just before the announcement that the
	// upstream is draining may reach the upstream a moment after it. If the upstream
	// closed its connections at once, that call would be lost whatever the node does.
	defaultDrainPeriod = 300 * time.Millisecond
	defaultListen      = "127.0.0.1:0"
)

type (
	// Behaviour configures how an upstream answers. It may change at any time.
	Behaviour struct {
		// Work is how long a call takes. ColdWork is added to the call's time during
		// the first ColdFor after New.
		Work     time.Duration `json:"work"`
		ColdWork time.Duration `json:"cold_work"`
		ColdFor  time.Duration `json:"cold_for"`
		// FailShare is the share of calls, from 0 to 1, that get status 500. FailPath
		// limits them to paths with this prefix.
		FailShare float64 `json:"fail_share"`
		FailPath  string  `json:"fail_path"`
		// SlowAbove is the number of running calls above which a call's time, without
		// ColdWork, is multiplied by SlowFactor. A SlowFactor of 0 disables this.
		SlowAbove  int     `json:"slow_above"`
		SlowFactor float64 `json:"slow_factor"`
		// Shed makes the upstream answer 503, without running the call, while more
		// calls run than it has slots.
		Shed bool `json:"shed"`
		// LongPath is the prefix of paths whose calls take LongWork instead of Work and
		// of the time in HeaderWorkMS. An empty prefix matches no path.
		LongPath string        `json:"long_path"`
		LongWork time.Duration `json:"long_work"`
		// Deadly makes the upstream end without an answer, DeadlyAfter after it has begun, at
		// each call whose target or body contains it. Empty, no call does.
		Deadly      string        `json:"deadly"`
		DeadlyAfter time.Duration `json:"deadly_after"`
		// Limited makes the upstream name Limit, in calls a second, in its answers. It does
		// not enforce it. Leaving makes it say in its answers that it leaves.
		Limited bool    `json:"limited"`
		Limit   float64 `json:"limit"`
		Leaving bool    `json:"leaving"`
	}

	// Run is one run of a call, recorded when it begins.
	Run struct {
		// Work is the work id of the call.
		Work    string
		Service kqname.Service
		Version kqname.UpstreamVersion
		At      time.Time
	}

	// Upstream is a fake upstream. It is safe for concurrent use.
	Upstream struct {
		announcement kqlocal.Announcement
		listen       string
		drainPeriod  time.Duration
		// statesColdStart is set if the upstream announces its cold start and answers
		// health checks with it.
		statesColdStart bool
		onEvent         func(Event)
		node            kqname.Address
		server          *fasthttp.Server
		listener        *kqresetlistener.Listener
		http            *http.Client
		started         time.Time

		behaviour atomic.Pointer[Behaviour]
		onRun     atomic.Pointer[func(Run)]
		killed    chan struct{}
		ended     sync.Once
		draining  atomic.Bool
		running   atomic.Int64

		mu   sync.Mutex
		runs map[string]int
	}

	nopLogger struct{}
)

// Printf implements fasthttp.Logger and discards the message: broken connections are
// expected of an upstream that is killed.
func (nopLogger) Printf(string, ...any) {}

// New opens an upstream of a service's version. Once Run is called, it announces itself
// with the given slots to the node whose local address is node. It enforces the slots only
// with Behaviour.Shed.
func New(service kqname.Service, version kqname.UpstreamVersion, slots int, node kqname.Address, b Behaviour, options ...Option) (*Upstream, error) {
	u := &Upstream{
		announcement: kqlocal.Announcement{Service: service, Version: version, Slots: slots},
		listen:       defaultListen,
		drainPeriod:  defaultDrainPeriod,
		onEvent:      func(Event) {},
		node:         node,
		killed:       make(chan struct{}),
		http:         &http.Client{Timeout: time.Second},
		started:      time.Now(),
		runs:         make(map[string]int),
	}
	for _, o := range options {
		o(u)
	}
	l, err := net.Listen("tcp", u.listen)
	if err != nil {
		return nil, fmt.Errorf("open upstream of %s: %w", service, err)
	}
	u.announcement.Address, u.listener = kqname.Address(l.Addr().String()), kqresetlistener.New(l, new(atomic.Int64))
	u.SetBehaviour(b)
	u.server = &fasthttp.Server{Handler: u.handle, NoDefaultServerHeader: true, IdleTimeout: time.Minute, Logger: nopLogger{}, MaxRequestBodySize: maxBody}
	return u, nil
}

// Address returns the address at which the upstream accepts calls.
func (u *Upstream) Address() kqname.Address { return u.announcement.Address }

// SetBehaviour changes how calls are answered from now on.
func (u *Upstream) SetBehaviour(b Behaviour) { u.behaviour.Store(&b) }

// OnRun sets the function that is called with each call that begins to run from now on.
func (u *Upstream) OnRun(f func(Run)) { u.onRun.Store(&f) }

// Kill resets every connection at once and ends Run without draining, as when a server
// is lost.
func (u *Upstream) Kill() {
	u.ended.Do(func() {
		close(u.killed)
		u.listener.ResetAll()
	})
}

// Killed returns a channel that is closed once the upstream has ended without draining.
func (u *Upstream) Killed() <-chan struct{} { return u.killed }

// Run serves calls and announces the upstream until ctx ends, and then drains. After Kill
// it ends without draining.
func (u *Upstream) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- u.server.Serve(u.listener) }()
	u.onEvent(Event{Kind: Listening, At: time.Now(), Address: u.Address()})
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		u.announce()
		select {
		case <-u.killed:
			return nil
		case err := <-failed:
			return fmt.Errorf("serve upstream of %s: %w", u.announcement.Service, err)
		case <-ctx.Done():
			u.leave()
			if err := u.server.Shutdown(); err != nil {
				return fmt.Errorf("drain upstream of %s: %w", u.announcement.Service, err)
			}
			return nil
		case <-ticker.C:
		}
	}
}

// Drain announces that the upstream takes no new calls, as do all later announcements. The
// upstream keeps serving.
func (u *Upstream) Drain() {
	u.draining.Store(true)
	u.announce()
}

// Runs returns how often each work id ran.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	copied := make(map[string]int, len(u.runs))
	for id, n := range u.runs {
		copied[id] = n
	}
	return copied
}

func (u *Upstream) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case ConditionPath:
		u.serveCondition(ctx)
		return
	case HealthPath:
		u.serveHealth(ctx)
		return
	}
	b := *u.behaviour.Load()
	running := u.running.Add(1)
	defer u.running.Add(-1)
	defer u.stateCondition(ctx)
	if b.Shed && running > int64(u.announcement.Slots) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	workID := string(ctx.Request.Header.Peek(HeaderWorkID))
	u.mu.Lock()
	u.runs[workID]++
	u.mu.Unlock()
	if f := u.onRun.Load(); f != nil {
		(*f)(Run{Work: workID, Service: u.announcement.Service, Version: u.announcement.Version, At: time.Now()})
	}
	u.emit(Begun, workID)
	if b.isDeadly(ctx) {
		time.Sleep(b.DeadlyAfter)
		u.emit(Died, workID)
		u.Kill()
		return
	}
	defer u.emit(Ended, workID)
	time.Sleep(u.duration(b, running, ctx))
	ctx.Response.Header.Set(HeaderWorkID, workID)
	if bytes.HasPrefix(ctx.Path(), []byte(b.FailPath)) && rand.Float64() < b.FailShare {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	fmt.Fprintf(ctx, "%s %s %s\n", u.announcement.Service, u.announcement.Version, workID)
}

// isDeadly reports whether the call ends the upstream.
func (b Behaviour) isDeadly(ctx *fasthttp.RequestCtx) bool {
	return b.Deadly != "" && (bytes.Contains(ctx.RequestURI(), []byte(b.Deadly)) || bytes.Contains(ctx.PostBody(), []byte(b.Deadly)))
}

// stateCondition writes the limit that the upstream names now, and whether it leaves, into an
// answer.
func (u *Upstream) stateCondition(ctx *fasthttp.RequestCtx) {
	b := u.behaviour.Load()
	if b.Limited {
		ctx.Response.Header.Set(kqcall.HeaderLimit, strconv.FormatFloat(b.Limit, 'f', -1, 64))
	}
	if b.Leaving {
		ctx.Response.Header.Set(kqcall.HeaderLeaving, "1")
	}
	instance := u.announcement.Instance
	if instance == "" {
		return
	}
	if text, err := json.Marshal(Condition{Upstream: instance, Limited: b.Limited, Limit: b.Limit, Leaving: b.Leaving}); err == nil {
		ctx.Response.Header.SetBytesV(HeaderCondition, text)
	}
}

// duration returns how long a call takes.
func (u *Upstream) duration(b Behaviour, running int64, ctx *fasthttp.RequestCtx) time.Duration {
	d, path := b.Work, ctx.Path()
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderWorkMS))); err == nil && ms > 0 {
		d = min(time.Duration(ms)*time.Millisecond, maxWork)
	}
	if b.LongPath != "" && bytes.HasPrefix(path, []byte(b.LongPath)) {
		d = b.LongWork
	}
	if b.SlowFactor > 0 && running > int64(b.SlowAbove) {
		d = time.Duration(float64(d) * b.SlowFactor)
	}
	if u.coldLeft() > 0 {
		d += b.ColdWork
	}
	return d
}

// coldLeft returns for how much longer the upstream is cold.
func (u *Upstream) coldLeft() time.Duration {
	return max(u.behaviour.Load().ColdFor-time.Since(u.started), 0)
}

// serveHealth answers a health check.
func (u *Upstream) serveHealth(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(kqcall.HeaderInstance, string(u.announcement.Instance))
	ctx.Response.Header.Set(kqcall.HeaderCold, strconv.FormatInt(u.coldLeft().Milliseconds(), 10))
	u.stateCondition(ctx)
}

// announce sends the upstream's announcement to its node and reports whether the node
// acknowledged it.
func (u *Upstream) announce() bool {
	a := u.announcement
	a.Draining = u.draining.Load()
	if u.statesColdStart {
		a.WarmUpLeft = u.coldLeft()
	}
	body, err := json.Marshal(a)
	if err != nil {
		return false
	}
	// A node that cannot be reached now gets the next announcement.
	resp, err := u.http.Post("http://"+string(u.node)+"/kq/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}
