package kqnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqhangup"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	announcePath = "/kq/announce"
	baseline     = "baseline"
	readTimeout  = 10 * time.Second
	// serverIdle is longer than the clients keep idle connections, so that the
	// client is the one to close: a server that closes first could cut a call
	// that was just being sent.
	serverIdle = time.Minute
)

type (
	callServers struct {
		entry, local, gate *fasthttp.Server
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
	gate := []kqgate.Option{kqgate.WithObserver(n.rollouts), kqgate.WithGuard(n.rollouts), kqgate.WithHangup(n.hangup)}
	entry := append(n.entryTLSOptions(), kqentry.WithCounter(n.metrics), kqentry.WithSplitter(n.rollouts),
		kqentry.WithDomain(n.settings.Node.Domain), kqentry.WithHangup(n.hangup),
		kqentry.WithForged(n.security.Forged))
	if n.settings.Call.Policy == baseline {
		gate, entry = append(gate, kqgate.WithBaseline()), append(entry, kqentry.WithBaseline())
	}
	n.gate = kqgate.New(n.local, gate...)
	n.entry = kqentry.New(n.settings.Node.Name, n.replica, n.table, n.gate, entry...)
	n.servers = callServers{
		entry: n.server(n.entry.ServeOutside),
		local: n.server(n.serveLocal),
		gate:  n.server(n.gate.Serve),
	}
}

func (n *Node) server(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, Name: "kumquatgw", ReadTimeout: readTimeout, IdleTimeout: serverIdle,
		MaxRequestBodySize: n.settings.Call.MaxBody, NoDefaultServerHeader: true, CloseOnShutdown: true,
		Logger: quiet{n.logger.Part("call")},
	}
}

// serveLocal takes the announcements and the calls of the local upstream.
func (n *Node) serveLocal(ctx *fasthttp.RequestCtx) {
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

// shutdown closes the listeners and waits for the calls in flight: the
// entries' first, since they may still need the gate.
func (s callServers) shutdown(ctx context.Context) error {
	var errs []error
	for _, server := range []*fasthttp.Server{s.entry, s.local, s.gate} {
		if err := server.ShutdownWithContext(ctx); err != nil {
			errs = append(errs, fmt.Errorf("drain: %w", err))
		}
	}
	return errors.Join(errs...)
}
