package kqnode

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqbody"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
	"github.com/kumquatgw/kumquatgw/internal/call/kqdisconnect"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/call/kqnesting"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqallowance"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqgrace"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqinbound"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/run/kqconditionlog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqrecord"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	announcePath   = "/kq/announce"
	policyBaseline = "baseline"
	slotsExact     = "exact"
	// serverIdleTimeout exceeds the clients' idle timeout, so that the client closes
	// first: a server that closes first could cut off a call that is being sent.
	serverIdleTimeout = time.Minute
	// maxHeaderSize bounds a call's header, in bytes: 16 KB of the caller's own, and
	// what nodes add on the way to a gate.
	maxHeaderSize = 18 << 10
)

type (
	callServers struct {
		entry, local, gate, ready *fasthttp.Server
	}

	// callServer is how a server of calls differs from others.
	callServer struct {
		role Role
		// count gets the outcomes of the calls that cannot be read or get no memory, and of those
		// that panic; the handler does its own counting for the others.
		count func(kqcall.Outcome)
		// maxBody is the largest body in bytes.
		maxBody int
		// bodyWait is how long a body of stated length waits for memory.
		bodyWait time.Duration
	}

	// debugLogger logs the HTTP library's messages on broken connections at debug
	// level, since any caller can cause them at any rate.
	debugLogger struct{ log *logrus.Entry }
)

// Printf implements fasthttp.Logger. The texts of the library's errors quote what was read, which
// may hold an API key, so only network errors are logged with their text.
func (l debugLogger) Printf(format string, args ...any) {
	if !l.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	shown := slices.Clone(args)
	for i, a := range shown {
		if err, ok := a.(error); ok {
			shown[i] = unquoted(err)
		}
	}
	l.log.Debugf(format, shown...)
}

// unquoted returns what an error of the HTTP library is, without what was read.
func unquoted(err error) string {
	var network *net.OpError
	switch {
	case errors.As(err, &network):
		return network.Error()
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return "the connection ended"
	default:
		return "the request cannot be read"
	}
}

// localOptions returns the options for the local upstreams. Without a store that keeps
// departures, no process knows those of before, and an announcement is taken at its word.
func (n *Node) localOptions() []kqlocal.Option {
	options := []kqlocal.Option{kqlocal.WithRecoveredTTL(n.recoveredTTL())}
	if n.adapter.Lister == nil {
		return options
	}
	return append(options, kqlocal.WithConfirmation(n.started, n.settings.Member.AnnounceInterval, func(a kqlocal.Announcement) {
		n.logger.Part("upstream").WithFields(logrus.Fields{"event": "unconfirmed", "instance": a.Instance, "service": a.Service, "started_ms": a.StartedMS}).
			Info("Upstream from before the start has announced itself only once.")
	}))
}

// setUpCalls assembles the call flow: match a route, admit, pick an upstream, send,
// classify the result and answer.
func (n *Node) setUpCalls() {
	n.local = kqlocal.New(n.settings.Member.UpstreamTTL, func(list []kqmember.Upstream) {
		n.table.Update(func(m *kqmember.Member) { m.Upstreams = list })
	}, n.localOptions()...)
	n.disconnectWatcher = kqdisconnect.New()
	gate := []kqgate.Option{kqgate.WithWithdrawer(n.local), kqgate.WithObserver(n.rollouts), kqgate.WithGuard(n.rollouts), kqgate.WithEvacuation(n.isEvacuated), kqgate.WithColdStart(n.coldStart), kqgate.WithDeparture(n.upstreamLeaves), kqgate.WithDisconnectWatcher(n.disconnectWatcher), kqgate.WithCounter(n.metrics), kqgate.WithSupervisor(n.supervisor)}
	entry := append(n.entryTLSOptions(), kqentry.WithCounter(n.metrics), kqentry.WithSplitter(n.rollouts),
		kqentry.WithDomain(n.settings.Node.Domain), kqentry.WithDisconnectWatcher(n.disconnectWatcher),
		kqentry.WithForgedHeadersHandler(n.securityMetrics.ForgedHeaders), kqentry.WithSupervisor(n.supervisor))
	gateSuspicion, entrySuspicion := n.suspicionOptions()
	gate, entry = append(gate, gateSuspicion...), append(entry, entrySuspicion...)
	gateWorkspaces, entryWorkspaces := n.workspaceOptions()
	gate, entry = append(gate, gateWorkspaces...), append(entry, entryWorkspaces...)
	entry = append(entry, n.ratesOption())
	n.nesting = kqnesting.New()
	gate, entry = append(gate, kqgate.WithNesting(n.nesting)), append(entry, kqentry.WithNesting(n.nesting))
	gate, entry = append(gate, kqgate.WithGrace(&n.grace)), append(entry, kqentry.WithGrace(&n.grace))
	gate, entry = append(gate, kqgate.WithMemory(n.account)), append(entry, kqentry.WithMemory(n.account))
	if n.settings.Call.SlotMode == slotsExact {
		gate = append(gate, kqgate.WithExactSlots())
	}
	if n.settings.Call.Policy == policyBaseline {
		gate, entry = append(gate, kqgate.WithBaseline()), append(entry, kqentry.WithBaseline())
	}
	n.recorder = kqrecord.New(n.logger.Part("call"), n.logger.Part("gate"), n.settings.Log.SampleEvery, n.settings.Log.PerReason, n.metrics)
	gate = append(gate, kqgate.WithConditionRecorder(kqconditionlog.New(n.logger.Part("upstream"), n.metrics)))
	gate, entry = append(gate, kqgate.WithRecorder(n.recorder)), append(entry, kqentry.WithRecorder(n.recorder))
	if d := n.adapter.Dialect; d != nil {
		gate, entry = append(gate, kqgate.WithDialect(d)), append(entry, kqentry.WithDialect(d), kqentry.WithOrigin(n.settings.Node.Service))
	}
	if c := n.settings.Call; c.RepeatRatio > 0 {
		bound := kqallowance.Bound{Ratio: c.RepeatRatio, Slack: c.RepeatSlack}
		entry = append(entry, kqentry.WithRetryBound(bound, n.table.LiveCount))
	}
	if n.settings.Node.LinkMbits > 0 {
		n.inbound = kqinbound.New(n.settings.Node.LinkMbits)
		gate = append(gate, kqgate.WithBodyBacklog(n.inbound.Backlog))
	}
	n.gate = kqgate.New(n.local, gate...)
	n.entry = kqentry.New(n.settings.Node.Name, n.replica, n.table, n.gate, entry...)
	n.servers = callServers{
		entry: n.newServer(n.entry.ServeOutside, callServer{RoleEntry, n.metrics.Ended, n.settings.Call.MaxBody, entryBodyWait}),
		local: n.newServer(n.serveLocal, callServer{RoleLocal, n.metrics.Ended, n.settings.Call.MaxBody, entryBodyWait}),
		gate:  n.newServer(n.gate.Serve, callServer{RoleGate, n.metrics.GateCallEnded, n.settings.Call.MaxBody, n.settings.Call.ReadTimeout / 2}),
		ready: n.newServer(n.serveReady, callServer{RoleReady, func(kqcall.Outcome) {}, maxReadyBody, 0}),
	}
	n.servers.gate.ContinueHandler = n.allowBody
}

// coldStart returns what the upstreams of a call's service bear while they are cold, by the
// node's configuration or, without one, by the call. The bound is the service's rate times the
// operators' factor, plus their extra calls, less one as a margin.
func (n *Node) coldStart(call *kqcall.Call) kqgate.ColdStart {
	cold := kqgate.ColdStart{Duration: call.Cold.Duration}
	rate := call.Cold.Rate
	if found, ok := n.replica.Current().Service(call.Service); ok {
		s := found.Service
		rate, cold.Duration = s.ColdRate, time.Duration(s.ColdStartMS)*time.Millisecond
		cold.HealthPath, cold.TrustsAnnouncements = s.HealthPath, s.HealthPath == ""
	}
	if rate > 0 {
		cold.Bound = max(int(rate*n.settings.Call.ColdRateFactor+n.settings.Call.ColdRateExtra)-1, 1)
	}
	return cold
}

// newServer returns a server of calls.
func (n *Node) newServer(handler fasthttp.RequestHandler, s callServer) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: n.receiveBody(kqconnection.Serve(n.reserveCall(n.recoverPanics(handler, s.count), s)), s),
		Name:    "kumquatgw", ReadTimeout: n.settings.Call.ReadTimeout, IdleTimeout: serverIdleTimeout,
		MaxRequestBodySize: s.maxBody, NoDefaultServerHeader: true, CloseOnShutdown: true, StreamRequestBody: true,
		DisablePreParseMultipartForm: true, ReadBufferSize: maxHeaderSize, HeaderReceived: s.markTooLarge, Logger: debugLogger{n.logger.Part("call")},
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) { n.refuseUnread(ctx, err, s) },
	}
}

// serveLocal serves the local upstream's announcements and calls, or only announcements if
// the platform has a format of its own for them.
func (n *Node) serveLocal(ctx *fasthttp.RequestCtx) {
	if n.adapter.Announcements != nil {
		n.serveAnnouncement(ctx)
		return
	}
	if string(ctx.Path()) != announcePath {
		n.entry.ServeLocal(ctx, kqname.Caller(n.settings.Node.Service))
		return
	}
	if ctx.Request.IsBodyStream() {
		refuseLargeAnnouncement(ctx)
		return
	}
	var a kqlocal.Announcement
	err := json.Unmarshal(ctx.PostBody(), &a)
	if err == nil {
		now := time.Now()
		err = n.local.Announce(a, now)
		// A departure must take effect before the upstream gets its answer.
		n.gate.Sweep(now)
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// refuseLargeAnnouncement refuses an announcement that is too large to be read as one buffer.
func refuseLargeAnnouncement(ctx *fasthttp.RequestCtx) {
	ctx.Error("announcement is too large", fasthttp.StatusRequestEntityTooLarge)
}

func (s callServers) serve(start func(func() error), l listeners) {
	start(func() error { return s.entry.Serve(l.entry) })
	start(func() error { return s.local.Serve(l.local) })
	start(func() error { return s.gate.Serve(l.gate) })
}

// readErrorOutcome returns the outcome of a call that could not be read whole, by the
// error that stopped the reading.
func (n *Node) readErrorOutcome(err error) kqcall.Outcome {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, kqbody.ErrNoMemory), errors.Is(err, kqconnection.ErrNoMemory), errors.Is(err, kqconnection.ErrReclaimed):
		return noMemoryOutcome()
	case errors.Is(err, kqbody.ErrTooLarge), errors.As(err, &small):
		return kqcall.Refuse(kqcall.TooLarge)
	case !errors.As(err, &network):
		return kqcall.Refuse(kqcall.Malformed)
	case !network.Timeout():
		// The caller has disconnected.
		return kqcall.Refuse(kqcall.Cancelled)
	case n.leaving.Load():
		o := kqcall.Refuse(kqcall.Draining)
		o.RetryAfter = kqgrace.RetryAfter
		return o
	default:
		return kqcall.Refuse(kqcall.TooSlow)
	}
}
