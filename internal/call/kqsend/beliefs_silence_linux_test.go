package kqsend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// away is longer than a silent peer is waited for.
const away = 3 * time.Second

// Callers with orders had no answer, and could not tell whether their order had run,
// when the node at the other end was held up for a few seconds and then went on: its
// process was stopped, or its whole server was. The sender took the silence for a peer
// that had gone, one second after its window was full and two after its last packet.
// For a call that may be repeated that is right, another upstream serves it meanwhile;
// one that may not gains nothing by it, and lost an answer that came a moment later.
func TestSilentPeerComesBack(t *testing.T) {
	for _, c := range []struct {
		name string
		body int
		// held holds the peer up, before or after it has read the request.
		held func(t *testing.T, c net.Conn, r *bufio.Reader) (string, error)
	}{
		{"stopped while a large body comes", 32 << 20, func(_ *testing.T, _ net.Conn, r *bufio.Reader) (string, error) {
			time.Sleep(away)
			q, err := http.ReadRequest(r)
			if err == nil {
				_, err = io.Copy(io.Discard, q.Body)
			}
			return "/order", err
		}},
		{"suspended while it works", 10, func(t *testing.T, c net.Conn, r *bufio.Reader) (string, error) {
			path, err := request(r)
			deaf(t, c, away)
			return path, err
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPeer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if path, err := c.held(t, conn, r); err == nil {
					answer(conn, path)
				}
			})
			client := kqsend.New(kqname.Address(p.Addr().String()), kqsend.WithDialer(kqsend.DialNode), kqsend.WithSilenceTimeout())
			order := call("/order", patience)
			order.Request.SetBody(make([]byte, c.body))
			began := time.Now()
			if o := client.Do(order); o != kqcall.OK() {
				t.Errorf("ended as %+v after %s, want the peer's answer", o, time.Since(began))
			}
		})
	}
}

// A peer that is silent for good must not hold up a call that another upstream can
// serve, also on a connection that carried a call before which could not be repeated.
func TestSilentPeerIsGivenUpForCallsThatMayBeRepeated(t *testing.T) {
	p := newPeer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if path, err := request(r); err == nil {
			answer(c, path)
		}
		deaf(t, c, 2*away)
	})
	client := kqsend.New(kqname.Address(p.Addr().String()), kqsend.WithDialer(kqsend.DialNode), kqsend.WithSilenceTimeout())
	if o := client.Do(call("/order", patience)); o != kqcall.OK() {
		t.Fatalf("first call: %+v", o)
	}
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	look := call("/look", patience)
	look.Idempotent = true
	if o := client.Do(look); o.Result != kqcall.Unknown || time.Since(began) > away {
		t.Errorf("ended as %+v after %s, want it given up within %s", o, time.Since(began), away)
	}
}

// deaf has the kernel drop all that comes on a connection for a while, as a server
// does that is suspended.
func deaf(t *testing.T, c net.Conn, d time.Duration) {
	t.Helper()
	tcp, _ := c.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	_ = raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})
	if err != nil {
		t.Error(err)
	}
	time.Sleep(d)
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// A large answer was on its way to its caller when the node that passed it on was
// suspended for some seconds. Its caller got the first part and no more, although the
// rest came as soon as the node went on. What has begun to arrive cannot come from
// another upstream any more.
func TestSilentPeerComesBackAmidAnAnswer(t *testing.T) {
	const size = 4 * kqsend.Bound
	p := newPeer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := request(r); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, size/2))
		time.Sleep(100 * time.Millisecond)
		deaf(t, c, away)
		_, _ = c.Write(make([]byte, size/2))
	})
	client := kqsend.New(kqname.Address(p.Addr().String()), kqsend.WithDialer(kqsend.DialNode), kqsend.WithSilenceTimeout())
	look := call("/download", patience)
	look.Idempotent = true
	if o := client.Do(look); o != kqcall.OK() {
		t.Fatalf("ended as %+v", o)
	}
	if n, err := io.Copy(io.Discard, look.Response.BodyStream()); n != size || err != nil {
		t.Errorf("%d bytes of %d came: %v", n, size, err)
	}
}
