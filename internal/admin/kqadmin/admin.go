package kqadmin

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/gofiber/fiber/v2/middleware/recover"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqapi"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqaudit"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqauth"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqchange"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqconsole"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqlinger"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqrollouthistory"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqview"
	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
)

const (
	// MaxBody is the maximum size of a request's body in bytes. The document of
	// a fleet after two years' growth takes a few hundred kilobytes.
	MaxBody = 1 << 20
	// MaxHeaders is the maximum size of a request's headers in bytes.
	MaxHeaders = 8 << 10
	// RequestMemory is what a request takes at most, in bytes, with its head's fields.
	RequestMemory = MaxBody + 512<<10

	defaultReadTimeout = 10 * time.Second
	// refusalTimeout bounds the wait at shutdown until the connections of refused
	// incomplete requests are closed.
	refusalTimeout = 150 * time.Millisecond
	idleTimeout    = time.Minute
	maxConnections = 1024
	maxPerSource   = 128
)

type (
	// Node provides the state of the node that the admin server shows.
	Node interface {
		kqview.Node
		Rollouts() []kqtracker.Status
	}

	// Counter counts committed changes and refused requests.
	Counter interface {
		kqapi.Counter
		kqchange.Counter
	}

	// Parts are the dependencies of the admin server.
	Parts struct {
		Node      Node
		Store     kqcommit.Store
		Operators kqauth.Operators
		Registry  *prometheus.Registry
		Counter   Counter
		Log       *logrus.Entry
	}

	// AdminServer serves the console, the API, metrics and health checks of a node.
	AdminServer struct {
		app      *fiber.App
		api      *kqapi.API
		console  *kqconsole.Console
		history  *kqrollouthistory.History
		rollouts func() []kqtracker.Status
		admit    func(net.Listener) net.Listener
		// expiringReads is set when a shutdown expires the reads of incomplete requests.
		expiringReads atomic.Bool

		mu       sync.Mutex
		listener *kqlinger.Listener
	}

	// Option configures an AdminServer.
	Option func(*options)

	options struct {
		readTimeout time.Duration
		now         func() time.Time
		admit       func(net.Listener) net.Listener
	}
)

// WithReadTimeout sets the maximum time for receiving a whole request.
func WithReadTimeout(d time.Duration) Option { return func(o *options) { o.readTimeout = d } }

// WithAdmission sets a function that wraps the listener, to limit the memory of its connections.
func WithAdmission(wrap func(net.Listener) net.Listener) Option {
	return func(o *options) { o.admit = wrap }
}

// WithNow sets the clock of the server.
func WithNow(now func() time.Time) Option { return func(o *options) { o.now = now } }

// New returns the admin server of a node.
func New(parts Parts, opts ...Option) (*AdminServer, error) {
	o := options{readTimeout: defaultReadTimeout, now: time.Now, admit: func(l net.Listener) net.Listener { return l }}
	for _, set := range opts {
		set(&o)
	}
	a := &AdminServer{history: kqrollouthistory.New(), rollouts: parts.Node.Rollouts, admit: o.admit}
	a.app = fiber.New(fiber.Config{
		DisableStartupMessage: true, ErrorHandler: a.handleError,
		// Fiber otherwise reuses its buffers, and strings kept from a request,
		// such as those of an audit record, would change with the next request.
		Immutable: true,
		BodyLimit: MaxBody, ReadBufferSize: MaxHeaders, Concurrency: maxConnections,
		ReadTimeout: o.readTimeout, IdleTimeout: idleTimeout,
	})
	committer := kqcommit.New(parts.Store)
	audit := kqaudit.New(parts.Log)
	changer, view, auth := kqchange.New(committer, audit, parts.Counter), kqview.New(parts.Node, committer), kqauth.New(parts.Operators)
	shared := kqapi.Parts{
		Committer: committer, Changer: changer, View: view, Audit: audit, Auth: auth,
		Counter: parts.Counter, Rollouts: a.rollouts, Now: o.now,
	}
	a.api = kqapi.New(shared)
	var err error
	a.console, err = kqconsole.New(kqconsole.Parts{Parts: shared, History: a.history})
	if err != nil {
		return nil, fmt.Errorf("create admin server: %w", err)
	}
	a.registerRoutes(parts)
	return a, nil
}

// Run samples the rollouts for the console until ctx ends.
func (a *AdminServer) Run(ctx context.Context) { a.history.Run(ctx, a.rollouts) }

// Serve serves requests on the listener until Shutdown, with TLS unless config
// is nil.
func (a *AdminServer) Serve(l net.Listener, config *tls.Config) error {
	lingering := kqlinger.New(l, maxPerSource)
	a.mu.Lock()
	a.listener = lingering
	a.mu.Unlock()
	served := a.admit(lingering)
	if config != nil {
		served = tls.NewListener(served, config)
	}
	if err := a.app.Listener(served); err != nil {
		return fmt.Errorf("serve admin server on %s: %w", l.Addr(), err)
	}
	return nil
}

// Shutdown stops the server once its requests are answered or ctx ends. At ctx's
// deadline it refuses requests that are still incomplete, which takes up to
// refusalTimeout more: without an error response operators would not know whether
// their change was made.
func (a *AdminServer) Shutdown(ctx context.Context) error {
	err := a.app.ShutdownWithContext(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		a.refuseIncomplete()
	}
	if err != nil {
		return fmt.Errorf("stop admin server: %w", err)
	}
	return nil
}

// refuseIncomplete expires the reads of incomplete requests and waits, up to
// refusalTimeout, until their connections are closed.
func (a *AdminServer) refuseIncomplete() {
	a.expiringReads.Store(true)
	a.mu.Lock()
	listener := a.listener
	a.mu.Unlock()
	if listener == nil {
		return
	}
	listener.ExpireReads(time.Now())
	ticker := time.NewTicker(refusalTimeout / 15)
	defer ticker.Stop()
	for end := time.Now().Add(refusalTimeout); listener.OpenConnections() > 0 && time.Now().Before(end); {
		<-ticker.C
	}
}

func (a *AdminServer) registerRoutes(parts Parts) {
	a.app.Use(recover.New())
	a.app.Use(setSecurityHeaders)
	a.app.Get("/live", func(c *fiber.Ctx) error { return c.SendString("live\n") })
	a.app.Get("/ready", func(c *fiber.Ctx) error {
		if !parts.Node.Ready() {
			return c.Status(http.StatusServiceUnavailable).SendString("not ready\n")
		}
		return c.SendString("ready\n")
	})
	a.app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(parts.Registry, promhttp.HandlerOpts{})))
	a.api.Register(a.app)
	a.console.Register(a.app)
}

// setSecurityHeaders makes browsers refuse framing, scripts and MIME type sniffing
// and send no referrer, against attacks through an operator's browser.
func setSecurityHeaders(c *fiber.Ctx) error {
	c.Set("X-Content-Type-Options", "nosniff")
	c.Set("X-Frame-Options", "DENY")
	c.Set("Referrer-Policy", "no-referrer")
	c.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; img-src 'self' data:; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
	return c.Next()
}

// handleError responds to requests that have no route, that the HTTP library
// rejected for their size or slowness, or whose handler returned an error.
func (a *AdminServer) handleError(c *fiber.Ctx, err error) error {
	code := codeOf(err)
	if code == kqproblem.TooSlow && a.expiringReads.Load() {
		code = kqproblem.ShuttingDown
	}
	return a.api.Refuse(c, kqproblem.New(code, err.Error()))
}

// codeOf maps an error of the HTTP library to a problem code. Any other error
// maps to Internal.
func codeOf(err error) kqproblem.Code {
	var f *fiber.Error
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(err, &small):
		return kqproblem.HeadersTooLarge
	case errors.As(err, &network) && network.Timeout():
		return kqproblem.TooSlow
	case !errors.As(err, &f):
		return kqproblem.Internal
	}
	switch f.Code {
	case fiber.StatusRequestEntityTooLarge:
		return kqproblem.TooLarge
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return kqproblem.HeadersTooLarge
	case fiber.StatusRequestTimeout:
		return kqproblem.TooSlow
	case fiber.StatusNotFound:
		return kqproblem.NotFound
	case fiber.StatusMethodNotAllowed:
		return kqproblem.BadMethod
	case fiber.StatusInternalServerError:
		return kqproblem.Internal
	default:
		return kqproblem.Malformed
	}
}
