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

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqcut"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// HeaderWork names a caller's piece of work; the answer echoes it, and the
// upstream counts how often it ran each.
const HeaderWork = "Work-Id"

const (
	// maxBody is the largest body that an upstream takes, in bytes: the largest that
	// settings let nodes take.
	maxBody       = 64 << 20
	announceEvery = 500 * time.Millisecond
	// defaultServesOn is how long an upstream goes on serving once its goodbye is
	// acknowledged: the users' upstreams do for two seconds or more. A call that its
	// gate let in just before the goodbye is written a moment after it, and closed at
	// once its connection would cut that call, whatever the node does.
	defaultServesOn = 300 * time.Millisecond
)

type (
	// Behaviour is how an upstream answers; it may change at any time.
	Behaviour struct {
		// Work is how long a call takes; ColdWork is added for the first
		// ColdFor after the start.
		Work     time.Duration `json:"work"`
		ColdWork time.Duration `json:"cold_work"`
		ColdFor  time.Duration `json:"cold_for"`
		// FailShare of calls, from 0 to 1, get status 500; FailPath limits
		// that to paths with this prefix.
		FailShare float64 `json:"fail_share"`
		FailPath  string  `json:"fail_path"`
		// SlowAbove running calls, Work is multiplied by SlowFactor; 0 for a
		// factor of 1 throughout.
		SlowAbove  int     `json:"slow_above"`
		SlowFactor float64 `json:"slow_factor"`
		// Shed answers 503 without running the call once more than the slots
		// are taken.
		Shed bool `json:"shed"`
		// LongPath is the prefix of paths whose calls take LongWork instead of
		// Work; an empty one fits none.
		LongPath string        `json:"long_path"`
		LongWork time.Duration `json:"long_work"`
	}

	// Run is one call that an upstream began to run.
	Run struct {
		Work    string
		Service kqname.Service
		Version kqname.UpstreamVersion
		At      time.Time
	}

	// Upstream is a fake upstream. It is safe for concurrent use.
	Upstream struct {
		announcement kqlocal.Announcement
		servesOn     time.Duration
		teller       func(Event)
		node         kqname.Address
		server       *fasthttp.Server
		listener     *kqcut.Listener
		http         *http.Client
		started      time.Time

		behaviour atomic.Pointer[Behaviour]
		watcher   atomic.Pointer[func(Run)]
		killed    chan struct{}
		draining  atomic.Bool
		running   atomic.Int64

		mu   sync.Mutex
		runs map[string]int
	}

	silent struct{}
)

// Printf implements fasthttp.Logger: broken connections are what an upstream
// that is killed is for.
func (silent) Printf(string, ...any) {}

// New opens an upstream of a service's version with the given slots; it
// announces itself to the node whose local address is node.
func New(service kqname.Service, version kqname.UpstreamVersion, slots int, node kqname.Address, b Behaviour, options ...Option) (*Upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open upstream of %s: %w", service, err)
	}
	u := &Upstream{
		announcement: kqlocal.Announcement{Service: service, Version: version, Address: kqname.Address(l.Addr().String()), Slots: slots},
		servesOn:     defaultServesOn,
		teller:       func(Event) {},
		node:         node,
		listener:     kqcut.New(l, new(atomic.Int64)),
		killed:       make(chan struct{}),
		http:         &http.Client{Timeout: time.Second},
		started:      time.Now(),
		runs:         make(map[string]int),
	}
	for _, o := range options {
		o(u)
	}
	u.SetBehaviour(b)
	u.server = &fasthttp.Server{Handler: u.handle, NoDefaultServerHeader: true, IdleTimeout: time.Minute, Logger: silent{}, MaxRequestBodySize: maxBody}
	return u, nil
}

// Address returns where the upstream takes calls.
func (u *Upstream) Address() kqname.Address { return u.announcement.Address }

// SetBehaviour changes how calls are answered from now on.
func (u *Upstream) SetBehaviour(b Behaviour) { u.behaviour.Store(&b) }

// OnRun calls f with each call that begins to run from now on.
func (u *Upstream) OnRun(f func(Run)) { u.watcher.Store(&f) }

// Kill breaks every connection at once and ends Run without draining, the way
// a lost server does. It may be called once.
func (u *Upstream) Kill() {
	close(u.killed)
	u.listener.Cut()
}

// Run serves and announces until ctx ends, and then drains.
func (u *Upstream) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- u.server.Serve(u.listener) }()
	u.tell(Listening, "")
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

// Drain makes the upstream announce that it takes no new work.
func (u *Upstream) Drain() {
	u.draining.Store(true)
	u.announce()
}

// Runs returns how often each piece of work ran.
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
	b := *u.behaviour.Load()
	running := u.running.Add(1)
	defer u.running.Add(-1)
	if b.Shed && running > int64(u.announcement.Slots) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	work := string(ctx.Request.Header.Peek(HeaderWork))
	u.mu.Lock()
	u.runs[work]++
	u.mu.Unlock()
	if f := u.watcher.Load(); f != nil {
		(*f)(Run{Work: work, Service: u.announcement.Service, Version: u.announcement.Version, At: time.Now()})
	}
	u.tell(Begun, work)
	defer u.tell(Ended, work)
	time.Sleep(u.duration(b, running, ctx))
	ctx.Response.Header.Set(HeaderWork, work)
	if bytes.HasPrefix(ctx.Path(), []byte(b.FailPath)) && rand.Float64() < b.FailShare {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	fmt.Fprintf(ctx, "%s %s %s\n", u.announcement.Service, u.announcement.Version, work)
}

func (u *Upstream) duration(b Behaviour, running int64, ctx *fasthttp.RequestCtx) time.Duration {
	d, path := b.Work, ctx.Path()
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderWorkMS))); err == nil && ms > 0 {
		d = min(time.Duration(ms)*time.Millisecond, longestWork)
	}
	if b.LongPath != "" && bytes.HasPrefix(path, []byte(b.LongPath)) {
		d = b.LongWork
	}
	if b.SlowFactor > 0 && running > int64(b.SlowAbove) {
		d = time.Duration(float64(d) * b.SlowFactor)
	}
	if time.Since(u.started) < b.ColdFor {
		d += b.ColdWork
	}
	return d
}

// announce reports whether the node acknowledged it.
func (u *Upstream) announce() bool {
	a := u.announcement
	a.Draining = u.draining.Load()
	body, err := json.Marshal(a)
	if err != nil {
		return false
	}
	// A node that is away hears of the upstream at the next announcement.
	resp, err := u.http.Post("http://"+string(u.node)+"/kq/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}
