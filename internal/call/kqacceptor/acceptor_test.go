package kqacceptor_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/call/kqacceptor"
)

// short is a listener that has no descriptor for its first accepts, and is closed
// after one connection.
type short struct {
	net.Listener
	fails, served int
}

func (s *short) Accept() (net.Conn, error) {
	switch {
	case s.fails > 0:
		s.fails--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	case s.served > 0:
		return nil, net.ErrClosed
	}
	s.served++
	c, _ := net.Pipe()
	return c, nil
}

// A process runs out of descriptors for three accepts, and then has some again. Its
// server must not see the failures, and must still see that the listener was closed.
func TestAcceptsAgainAfterAShortage(t *testing.T) {
	told := 0
	l := kqacceptor.New(&short{fails: 3}, func(err error) {
		if !errors.Is(err, syscall.EMFILE) {
			t.Errorf("told %v, want the shortage", err)
		}
		told++
	})
	if _, err := l.Accept(); err != nil {
		t.Fatalf("accept: %v, want a connection", err)
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept: %v, want that it is closed", err)
	}
	if told != 1 {
		t.Errorf("told %d times of one shortage, want once", told)
	}
}
