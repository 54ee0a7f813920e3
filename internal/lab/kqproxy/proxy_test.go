package kqproxy_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqproxy"
)

const answerTimeout = 300 * time.Millisecond

// echo starts a server that sends back everything it receives, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// exchange sends a line and waits for its echo.
func exchange(c net.Conn, r *bufio.Reader) error {
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := io.WriteString(c, "hello\n"); err != nil {
		return err
	}
	_, err := r.ReadString('\n')
	return err
}

// A mode without its full effect would let a soak run find nothing, and one that lasts
// beyond its end would be blamed on the program under test. Silence must hold back data
// in flight and release it afterwards; Reset must break connections at once; while
// Down, connections must be refused.
func TestModesTakeEffectAndEnd(t *testing.T) {
	p, err := kqproxy.New("127.2.0.1:0", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	for _, m := range []kqproxy.Mode{kqproxy.Silence, kqproxy.OneWay, kqproxy.Delay, kqproxy.Reset, kqproxy.Down} {
		t.Run(string(m), func(t *testing.T) {
			c, err := net.Dial("tcp", p.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			if err := exchange(c, r); err != nil {
				t.Fatalf("call before the fault: %v", err)
			}
			if err := p.SetMode(m); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			err = exchange(c, r)
			held := errors.Is(err, os.ErrDeadlineExceeded)
			switch m {
			case kqproxy.Silence, kqproxy.OneWay:
				if !held {
					t.Errorf("got %v, want no answer", err)
				}
			case kqproxy.Delay:
				if !held && time.Since(began) < 2*100*time.Millisecond {
					t.Errorf("answered after %v, want a delay", time.Since(began))
				}
			default:
				if err == nil || held {
					t.Errorf("got %v, want a broken connection", err)
				}
			}
			checkNewConnection(t, p.Address(), m)
			if err := p.SetMode(kqproxy.Pass); err != nil {
				t.Fatal(err)
			}
			if held {
				_ = c.SetDeadline(time.Now().Add(5 * time.Second))
				if _, err := r.ReadString('\n'); err != nil {
					t.Errorf("read held data after the fault: %v", err)
				}
			}
		})
	}
}

// checkNewConnection checks that Reset and Down apply to a new connection too, and that
// the other modes let one be opened. A reset can arrive before or after the operating
// system reports the connection as established.
func checkNewConnection(t *testing.T, address string, m kqproxy.Mode) {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		if m != kqproxy.Down && m != kqproxy.Reset {
			t.Errorf("open new connection: %v", err)
		}
		return
	}
	defer func() { _ = c.Close() }()
	err = exchange(c, bufio.NewReader(c))
	if held := errors.Is(err, os.ErrDeadlineExceeded); m == kqproxy.Down || m == kqproxy.Reset && (err == nil || held) {
		t.Errorf("new connection in mode %s: %v", m, err)
	}
}
