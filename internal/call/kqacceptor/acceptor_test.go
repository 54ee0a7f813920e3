package kqacceptor_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/call/kqacceptor"
)

// failingListener fails its first accepts for lack of a file descriptor, accepts one
// connection and is then closed.
type failingListener struct {
	net.Listener
	failures, accepted int
}

func (s *failingListener) Accept() (net.Conn, error) {
	switch {
	case s.failures > 0:
		s.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	case s.accepted > 0:
		return nil, net.ErrClosed
	}
	s.accepted++
	c, _ := net.Pipe()
	return c, nil
}

// A process runs out of descriptors for three accepts and then recovers. The server must
// not see these errors, but must still see that the listener is closed.
func TestAcceptRecoversFromDescriptorShortage(t *testing.T) {
	reports := 0
	l := kqacceptor.New(&failingListener{failures: 3}, func(err error) {
		if !errors.Is(err, syscall.EMFILE) {
			t.Errorf("reported %v, want EMFILE", err)
		}
		reports++
	})
	if _, err := l.Accept(); err != nil {
		t.Fatalf("accept: %v, want a connection", err)
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept: %v, want net.ErrClosed", err)
	}
	if reports != 1 {
		t.Errorf("%d errors reported for one shortage, want 1", reports)
	}
}
