package kqpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

var (
	// ErrFrame tells that a message is over MaxFrameBytes.
	ErrFrame = errors.New("message is too large")
	// ErrMethod tells that the peer does not know the method.
	ErrMethod = errors.New("unknown method")
)

type (
	// Server answers peers' requests. The zero value is not usable.
	Server struct {
		mu      sync.RWMutex
		methods map[string]method
		meter   Meter
	}

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

// NewServer returns a server without methods; meter may be nil.
func NewServer(meter Meter) *Server {
	return &Server{methods: make(map[string]method), meter: meter}
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
	return m(stream)
}

// Serve answers peers on the listener until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := drpcserver.NewWithOptions(s, drpcserver.Options{Manager: managerOptions()})
	if err := server.Serve(ctx, meteredListener{Listener: l, meter: s.meter}); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve peers on %s: %w", l.Addr(), err)
	}
	return nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxFrameBytes + 4096}}
}
