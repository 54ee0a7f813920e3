package kqnode

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqhangup"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/call/kqnesting"
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
	gate := []kqgate.Option{kqgate.WithWithdrawer(n.local), kqgate.WithObserver(n.rollouts), kqgate.WithGuard(n.rollouts), kqgate.WithHangup(n.hangup), kqgate.WithCounter(n.metrics), kqgate.WithKeeper(n.keeper)}
	entry := append(n.entryTLSOptions(), kqentry.WithCounter(n.metrics), kqentry.WithSplitter(n.rollouts),
		kqentry.WithDomain(n.settings.Node.Domain), kqentry.WithHangup(n.hangup),
		kqentry.WithForged(n.security.Forged), kqentry.WithKeeper(n.keeper))
	nesting := kqnesting.New()
	gate, entry = append(gate, kqgate.WithNesting(nesting)), append(entry, kqentry.WithNesting(nesting))
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
		Handler: kqconnection.Serve(n.kept(handler, count)), Name: "kumquatgw", ReadTimeout: n.settings.Call.ReadTimeout, IdleTimeout: serverIdle,
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

// refuse answers, and counts, what the library could not read as a call. Such
// a call never reaches an entry or a gate, which count all others.
func (n *Node) refuse(count func(kqcall.Outcome)) func(*fasthttp.RequestCtx, error) {
	return func(ctx *fasthttp.RequestCtx, err error) {
		o := n.unread(ctx, errors.Join(err, kqconnection.ReadError(ctx.Conn())))
		n.bodies.Give(&ctx.Request.Header)
		count(o)
		c := &kqcall.Call{Request: &ctx.Request, Response: &ctx.Response}
		c.Answer(o)
	}
}

// unread is the outcome of a call that was not read whole, by what kept it from that.
func (n *Node) unread(ctx *fasthttp.RequestCtx, err error) kqcall.Outcome {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, kqconnection.ErrNoRoom):
		return noMemory()
	case errors.Is(err, fasthttp.ErrBodyTooLarge) && n.noRoom(ctx):
		return noMemory()
	case errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &small):
		return kqcall.Refuse(kqcall.TooLarge)
	case !errors.As(err, &network):
		return kqcall.Refuse(kqcall.Malformed)
	case !network.Timeout():
		// The caller has broken off.
		return kqcall.Refuse(kqcall.Cancelled)
	case n.leaving.Load():
		return kqcall.Refuse(kqcall.Draining)
	default:
		return kqcall.Refuse(kqcall.TooSlow)
	}
}
