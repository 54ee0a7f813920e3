package kqrpc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

var (
	// namespace holds the package's error types. Its errors are created once, as
	// sentinels, and carry no stack trace.
	namespace = errorx.NewNamespace("kqpeer").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// ErrFrame is returned for a message to be sent that exceeds MaxFrameBytes.
	ErrFrame = namespace.NewType("frame").New("message is too large")
	// ErrMethod is the server's error for a method that it does not implement. It and
	// the server's errors below reach the caller only as text.
	ErrMethod = namespace.NewType("method").New("unknown method")
	// ErrSender is the server's error for a request that names another sender than the
	// certificate of its connection.
	ErrSender = namespace.NewType("sender").New("sender does not match the certificate's node")
	// ErrPanicked is the server's error for a request whose handler panicked.
	ErrPanicked = namespace.NewType("panic").New("handler panicked")
)

const (
	// panicSource names the handling of peers' requests in reports of panics.
	panicSource = "peer"
	// guardTimeout bounds the authentication of a new connection.
	guardTimeout = 5 * time.Second
)

type (
	// Server answers requests of peers. Create it with NewServer.
	Server struct {
		mu      sync.RWMutex
		methods map[string]method
		meter   Meter
		guard   Guard
	}

	// Guard secures an accepted connection and returns the authenticated node at
	// the other end. After an error the connection is closed.
	Guard func(ctx context.Context, conn net.Conn) (net.Conn, kqname.Node, error)

	// ServerOption configures a Server.
	ServerOption func(*Server)

	// senderKey is the context key of the authenticated node of a connection.
	senderKey struct{}

	// Meter counts the bytes of control traffic on the wire.
	Meter interface {
		Sent(bytes int)
		Received(bytes int)
	}

	// envelope is a request with the name of its sender.
	envelope[T any] struct {
		From kqname.Node `cbor:"1,keyasint"`
		Body T           `cbor:"2,keyasint"`
	}

	// method receives a request from a stream, handles it and sends the answer.
	method func(stream drpc.Stream) error
)

// WithGuard serves only connections that g has authenticated.
func WithGuard(g Guard) ServerOption { return func(s *Server) { s.guard = g } }

// NewServer returns a server without methods; meter may be nil.
func NewServer(meter Meter, options ...ServerOption) *Server {
	s := &Server{methods: make(map[string]method), meter: meter}
	for _, o := range options {
		o(s)
	}
	return s
}

// Handle registers f as the handler of a method. Requests and answers are encoded
// as CBOR. from is the sender's name in the request; with a Guard, a request whose
// sender is not the authenticated node fails with ErrSender before f is called.
func Handle[Req, Resp any](s *Server, name string, f func(ctx context.Context, from kqname.Node, request Req) (Resp, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.methods[name] = func(stream drpc.Stream) error {
		var request envelope[Req]
		if err := stream.MsgRecv(&request, codec{}); err != nil {
			return fmt.Errorf("receive %s: %w", name, err)
		}
		if authenticated, ok := stream.Context().Value(senderKey{}).(kqname.Node); ok && authenticated != request.From {
			return fmt.Errorf("%s from %q, authenticated as %q: %w", name, request.From, authenticated, ErrSender)
		}
		response, err := f(stream.Context(), request.From, request.Body)
		if err != nil {
			return fmt.Errorf("answer %s: %w", name, err)
		}
		if err := stream.MsgSend(&response, codec{}); err != nil {
			return fmt.Errorf("send answer of %s: %w", name, err)
		}
		return nil
	}
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	s.mu.RLock()
	m, ok := s.methods[rpc]
	s.mu.RUnlock()
	if !ok {
		return fmt.Errorf("%s: %w", rpc, ErrMethod)
	}
	err := fmt.Errorf("%s: %w", rpc, ErrPanicked)
	// The library does not recover panics, so one would end the process.
	kqsupervisor.From(stream.Context()).RunRecovered(panicSource, func() { err = m(stream) })
	return err
}

// Serve answers peers on the listener until ctx ends. It treats every error of Accept
// as final, so a listener must retry temporary failures itself, as kqacceptor's do.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := drpcserver.NewWithOptions(s, drpcserver.Options{Manager: managerOptions()})
	tracker := drpcctx.NewTracker(ctx)
	defer tracker.Wait()
	defer tracker.Cancel()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return fmt.Errorf("serve peers on %s: %w", l.Addr(), err)
		}
		tracker.Run(func(ctx context.Context) {
			if !kqsupervisor.From(ctx).RunRecovered(panicSource, func() { s.serveOne(ctx, server, conn) }) {
				_ = conn.Close()
			}
		})
	}
}

// serveOne serves one connection. With a Guard, no request reaches a method before the
// peer has been authenticated.
func (s *Server) serveOne(ctx context.Context, server *drpcserver.Server, conn net.Conn) {
	var secured net.Conn = meteredConn{Conn: conn, meter: s.meter}
	if s.guard != nil {
		guardCtx, cancel := context.WithTimeout(ctx, guardTimeout)
		guarded, sender, err := s.guard(guardCtx, secured)
		cancel()
		if err != nil {
			_ = conn.Close()
			return
		}
		secured = guarded
		ctx = context.WithValue(ctx, senderKey{}, sender)
	}
	// The error only reports that the connection has ended, and its requests with it.
	_ = server.ServeOne(ctx, secured)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxFrameBytes + 4096}}
}
