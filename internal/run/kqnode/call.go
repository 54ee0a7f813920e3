package kqnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqbody"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqhangup"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqallowance"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/run/kqrecord"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	announcePath = "/kq/announce"
	baseline     = "baseline"
	exactSlots   = "exact"
	// serverIdle is longer than the clients keep idle connections, so that the
	// client is the one to close: a server that closes first could cut a call
	// that was just being sent.
	serverIdle = time.Minute
	// headerSize bounds a call's head, in bytes: 16 KB of the caller's own, and what
	// nodes add on the way to a gate.
	headerSize = 18 << 10
	// callerGrace is how long callers from outside are given at least to go
	// elsewhere when the node leaves: whoever places them asks once a second
	// whether the node is ready and needs two answers. callerQuiet without a call
	// tells that they have gone; where too few other nodes are ready they stay,
	// and are served until closeMargin before the end: a call that is taken then has
	// as long to be answered as all but the slowest take.
	callerGrace = 2200 * time.Millisecond
	callerQuiet = 700 * time.Millisecond
	closeMargin = 2300 * time.Millisecond
	emptyPoll   = 10 * time.Millisecond
	// ownGrace is how long callers are given where nobody asks whether the node
	// is ready.
	ownGrace = time.Second
)

type (
	callServers struct {
		entry, local, gate, ready *fasthttp.Server
	}

	// quiet logs the library's remarks on broken connections, which anybody
	// can cause at any rate, at the lowest level.
	quiet struct{ log *logrus.Entry }
)

// Printf implements fasthttp.Logger.
func (q quiet) Printf(format string, args ...any) { q.log.Debugf(format, args...) }

// joinCalls joins the call flow: match, admit, pick, send, judge and answer.
func (n *Node) joinCalls() {
	n.local = kqlocal.New(n.settings.Member.UpstreamTTL, func(list []kqmember.Upstream) {
		n.table.Update(func(m *kqmember.Member) { m.Upstreams = list })
	})
	n.hangup = kqhangup.New()
	gate := []kqgate.Option{kqgate.WithObserver(n.rollouts), kqgate.WithGuard(n.rollouts), kqgate.WithHangup(n.hangup), kqgate.WithCounter(n.metrics), kqgate.WithKeeper(n.keeper)}
	entry := append(n.entryTLSOptions(), kqentry.WithCounter(n.metrics), kqentry.WithSplitter(n.rollouts),
		kqentry.WithDomain(n.settings.Node.Domain), kqentry.WithHangup(n.hangup),
		kqentry.WithForged(n.security.Forged), kqentry.WithKeeper(n.keeper))
	if n.settings.Call.Slots == exactSlots {
		gate = append(gate, kqgate.WithExactSlots())
	}
	if n.settings.Call.Policy == baseline {
		gate, entry = append(gate, kqgate.WithBaseline()), append(entry, kqentry.WithBaseline())
	}
	n.recorder = kqrecord.New(n.logger.Part("call"), n.logger.Part("gate"), n.settings.Log.Sample, n.settings.Log.PerReason, n.metrics)
	gate, entry = append(gate, kqgate.WithRecorder(n.recorder)), append(entry, kqentry.WithRecorder(n.recorder))
	if d := n.adapter.Dialect; d != nil {
		gate, entry = append(gate, kqgate.WithDialect(d)), append(entry, kqentry.WithDialect(d), kqentry.WithOrigin(n.settings.Node.Service))
	}
	if c := n.settings.Call; c.RepeatRatio > 0 {
		bound := kqallowance.Bound{Ratio: c.RepeatRatio, Slack: c.RepeatSlack}
		entry = append(entry, kqentry.WithBound(bound, n.table.Living))
	}
	n.bodies = kqbody.New(bodyMemory(n.settings))
	n.gate = kqgate.New(n.local, gate...)
	n.entry = kqentry.New(n.settings.Node.Name, n.replica, n.table, n.gate, entry...)
	n.servers = callServers{
		entry: n.server(n.entry.ServeOutside, n.metrics.Ended, entryRoom),
		local: n.server(n.serveLocal, n.metrics.Ended, entryRoom),
		gate:  n.server(n.gate.Serve, n.metrics.Gated, n.settings.Call.ReadTimeout/2),
		ready: n.server(n.serveReady, func(kqcall.Outcome) {}, 0),
	}
}

func (n *Node) server(handler fasthttp.RequestHandler, count func(kqcall.Outcome), room time.Duration) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: n.kept(handler, count), Name: "kumquatgw", ReadTimeout: n.settings.Call.ReadTimeout, IdleTimeout: serverIdle,
		MaxRequestBodySize: n.settings.Call.MaxBody, NoDefaultServerHeader: true, CloseOnShutdown: true,
		DisablePreParseMultipartForm: true, ReadBufferSize: headerSize, ErrorHandler: n.refuse(count), HeaderReceived: n.takeRoom(room), Logger: quiet{n.logger.Part("call")},
	}
}

// serveLocal takes the announcements and the calls of the local upstream.
func (n *Node) serveLocal(ctx *fasthttp.RequestCtx) {
	if n.adapter.Announcements != nil {
		n.serveAnnouncement(ctx)
		return
	}
	if string(ctx.Path()) != announcePath {
		n.entry.ServeLocal(ctx, kqname.Caller(n.settings.Node.Service))
		return
	}
	var a kqlocal.Announcement
	err := json.Unmarshal(ctx.PostBody(), &a)
	if err == nil {
		now := time.Now()
		err = n.local.Announce(a, now)
		// A drain takes effect before the upstream has its answer.
		n.gate.Sweep(now)
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

func (s callServers) serve(start func(func() error), l listeners) {
	start(func() error { return s.entry.Serve(l.entry) })
	start(func() error { return s.local.Serve(l.local) })
	start(func() error { return s.gate.Serve(l.gate) })
}

// leaveCalls ends the call flow without cutting a call. Closing a connection
// that looks idle may meet a call that is on its way, whose caller could not
// tell whether it ran. So each response asks first for its connection to be
// closed, and the servers stay until the others have let go of theirs, or have
// had the time to: nodes keep an idle connection for kqsend.IdleFor only.
func (n *Node) leaveCalls(ctx context.Context) error {
	n.gate.Leave()
	n.quiesce(ctx, RoleEntry, RoleLocal)
	err := n.servers.shutdown(ctx, n.servers.entry, n.servers.local)
	n.entry.Close()
	n.servers.emptied(ctx, kqsend.IdleFor+sweepEvery, n.servers.gate)
	n.quiesce(ctx, RoleGate)
	return errors.Join(err, n.servers.shutdown(ctx, n.servers.gate))
}

// deserted returns once callers come no more, or when it is time to close.
func (n *Node) deserted(ctx context.Context) {
	began := time.Now()
	if n.adapter.Dialect == nil {
		// Our own callers learn of it from the answers alone.
		n.servers.emptied(ctx, ownGrace, n.servers.entry)
		return
	}
	end, _ := ctx.Deadline()
	ticker := time.NewTicker(emptyPoll)
	defer ticker.Stop()
	for now := range ticker.C {
		if now.Sub(began) >= callerGrace && n.entry.Quiet(now) >= callerQuiet || now.After(end.Add(-closeMargin)) {
			return
		}
	}
}

// emptied returns once a server has no connections, or after at most a while.
func (s callServers) emptied(ctx context.Context, most time.Duration, server *fasthttp.Server) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	ticker := time.NewTicker(emptyPoll)
	defer ticker.Stop()
	for server.GetOpenConnectionsCount() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// shutdown closes the listeners and waits for the calls in flight.
func (s callServers) shutdown(ctx context.Context, servers ...*fasthttp.Server) error {
	var errs []error
	for _, server := range servers {
		if err := server.ShutdownWithContext(ctx); err != nil {
			errs = append(errs, fmt.Errorf("drain: %w", err))
		}
	}
	return errors.Join(errs...)
}

// refuse answers, and counts, what the library could not read as a call. Such
// a call never reaches an entry or a gate, which count all others.
func (n *Node) refuse(count func(kqcall.Outcome)) func(*fasthttp.RequestCtx, error) {
	return func(ctx *fasthttp.RequestCtx, err error) {
		o := kqcall.Refuse(kqcall.Malformed)
		var small *fasthttp.ErrSmallBuffer
		var network net.Error
		switch {
		case errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &small):
			o.Reason = kqcall.TooLarge
		case errors.As(err, &network) && network.Timeout():
			o.Reason = kqcall.TooSlow
		}
		if o.Reason == kqcall.TooLarge && n.noRoom(ctx) {
			o = kqcall.Refuse(kqcall.NoMemory)
			o.RetryAfter = roomAfter
			discard(ctx)
		}
		n.bodies.Give(&ctx.Request.Header)
		count(o)
		c := &kqcall.Call{Request: &ctx.Request, Response: &ctx.Response}
		c.Answer(o)
	}
}
