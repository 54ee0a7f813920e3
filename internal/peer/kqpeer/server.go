package kqpeer

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

	"github.com/kumquatgw/kumquatgw/internal/base/kqkeeper"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

var (
	// namespace holds the package's error types; its errors are made once and carry
	// no stack.
	namespace = errorx.NewNamespace("kqpeer").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// ErrFrame tells that a message is over MaxFrameBytes.
	ErrFrame = namespace.NewType("frame").New("message is too large")
	// ErrMethod tells that the peer does not know the method.
	ErrMethod = namespace.NewType("method").New("unknown method")
	// ErrSender tells that a request names another sender than its
	// connection's certificate does.
	ErrSender = namespace.NewType("sender").New("sender is not the certificate's node")
	// ErrPanicked tells that a fault in this program ended the request.
	ErrPanicked = namespace.NewType("panic").New("panicked")
)

const (
	// part is the name of the peers' requests in what is noted of them.
	part = "peer"
	// guardTimeout bounds what a peer may take to prove who it is.
	guardTimeout = 5 * time.Second
)

type (
	// Server answers peers' requests. The zero value is not usable.
	Server struct {
		mu      sync.RWMutex
		methods map[string]method
		meter   Meter
		guard   Guard
	}

	// Guard secures an accepted connection and returns the node that the
	// other end has proved to be; the error closes the connection.
	Guard func(ctx context.Context, conn net.Conn) (net.Conn, kqname.Node, error)

	// ServerOption sets up a Server.
	ServerOption func(*Server)

	senderKey struct{}

	// Meter is told how many bytes control traffic puts on the wire.
	Meter interface {
		Sent(bytes int)
		Received(bytes int)
	}

	envelope[T any] struct {
		From kqname.Node `cbor:"1,keyasint"`
		Body T           `cbor:"2,keyasint"`
	}

	method func(stream drpc.Stream) error
)

// WithGuard lets only those connections in that g accepts.
func WithGuard(g Guard) ServerOption { return func(s *Server) { s.guard = g } }

// NewServer returns a server without methods; meter may be nil.
func NewServer(meter Meter, options ...ServerOption) *Server {
	s := &Server{methods: make(map[string]method), meter: meter}
	for _, o := range options {
		o(s)
	}
	return s
}

// Handle answers a method's requests with f. Requests and answers travel as
// CBOR; from is the node that the sender says it is.
func Handle[Q, A any](s *Server, name string, f func(ctx context.Context, from kqname.Node, q Q) (A, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.methods[name] = func(stream drpc.Stream) error {
		var q envelope[Q]
		if err := stream.MsgRecv(&q, codec{}); err != nil {
			return fmt.Errorf("receive %s: %w", name, err)
		}
		if proved, ok := stream.Context().Value(senderKey{}).(kqname.Node); ok && proved != q.From {
			return fmt.Errorf("%s from %q, proved %q: %w", name, q.From, proved, ErrSender)
		}
		a, err := f(stream.Context(), q.From, q.Body)
		if err != nil {
			return fmt.Errorf("answer %s: %w", name, err)
		}
		if err := stream.MsgSend(&a, codec{}); err != nil {
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
	// The library does not catch a panic, which would end the process.
	kqkeeper.From(stream.Context()).Try(part, func() { err = m(stream) })
	return err
}

// Serve answers peers on the listener until ctx ends. A listener whose failures pass waits
// for that itself, as kqacceptor's do; any error is taken for final.
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
			if !kqkeeper.From(ctx).Try(part, func() { s.serveOne(ctx, server, conn) }) {
				_ = conn.Close()
			}
		})
	}
}

// serveOne answers one peer. What it sends before it has proved who it is
// reaches no method.
func (s *Server) serveOne(ctx context.Context, server *drpcserver.Server, conn net.Conn) {
	var secured net.Conn = meteredConn{Conn: conn, meter: s.meter}
	if s.guard != nil {
		limited, cancel := context.WithTimeout(ctx, guardTimeout)
		guarded, sender, err := s.guard(limited, secured)
		cancel()
		if err != nil {
			_ = conn.Close()
			return
		}
		secured = guarded
		ctx = context.WithValue(ctx, senderKey{}, sender)
	}
	// The error tells only that the peer has gone; its requests have ended.
	_ = server.ServeOne(ctx, secured)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxFrameBytes + 4096}}
}
