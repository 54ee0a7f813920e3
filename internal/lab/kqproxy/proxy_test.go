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

const short = 300 * time.Millisecond

// echo answers each line with the same line.
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

func ask(c net.Conn, r *bufio.Reader) error {
	_ = c.SetDeadline(time.Now().Add(short))
	if _, err := io.WriteString(c, "hello\n"); err != nil {
		return err
	}
	_, err := r.ReadString('\n')
	return err
}

// A fault that harms less than it says finds nothing, and one that goes on after its
// end is blamed on the program. Silence holds what is on its way and lets it go
// afterwards; a reset breaks at once; while down, nobody listens.
func TestProxyHarmsAndEnds(t *testing.T) {
	p, err := kqproxy.New(echo(t))
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
			if err := ask(c, r); err != nil {
				t.Fatalf("before: %v", err)
			}
			if err := p.Set(m); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			err = ask(c, r)
			held := errors.Is(err, os.ErrDeadlineExceeded)
			switch m {
			case kqproxy.Silence, kqproxy.OneWay:
				if !held {
					t.Errorf("got %v, want no answer", err)
				}
			case kqproxy.Delay:
				if !held && time.Since(began) < 2*100*time.Millisecond {
					t.Errorf("answered after %v", time.Since(began))
				}
			default:
				if err == nil || held {
					t.Errorf("got %v, want a broken connection", err)
				}
			}
			fresh(t, p.Address(), m)
			if err := p.Set(kqproxy.Pass); err != nil {
				t.Fatal(err)
			}
			if held {
				_ = c.SetDeadline(time.Now().Add(5 * time.Second))
				if _, err := r.ReadString('\n'); err != nil {
					t.Errorf("what was held: %v", err)
				}
			}
		})
	}
}

// fresh wants a new connection to be treated by the mode, too. One that is reset may
// be so before or after the system tells that it is there.
func fresh(t *testing.T, address string, m kqproxy.Mode) {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, short)
	if err != nil {
		if m != kqproxy.Down && m != kqproxy.Reset {
			t.Errorf("new connection: %v", err)
		}
		return
	}
	defer func() { _ = c.Close() }()
	err = ask(c, bufio.NewReader(c))
	if held := errors.Is(err, os.ErrDeadlineExceeded); m == kqproxy.Down || m == kqproxy.Reset && (err == nil || held) {
		t.Errorf("new connection in mode %s: %v", m, err)
	}
}
