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

// pauseDuration is longer than the short silence timeout.
const pauseDuration = 3 * time.Second

// Guards against giving up a paused peer while a call that is not idempotent waits for it.
// The peer's process or server is stopped for a few seconds and then resumes. If the sender
// gives it up one second after the send window is full, or two after the last packet, the
// caller cannot tell whether the call ran. The caller can make an idempotent call again, but
// any other call only loses a response that comes a moment later.
func TestSilentPeerComesBack(t *testing.T) {
	for _, c := range []struct {
		name string
		body int
		// pause delays the peer before or after it has read the request.
		pause func(t *testing.T, c net.Conn, r *bufio.Reader) (string, error)
	}{
		{"stopped while it receives a large body", 32 << 20, func(_ *testing.T, _ net.Conn, r *bufio.Reader) (string, error) {
			time.Sleep(pauseDuration)
			q, err := http.ReadRequest(r)
			if err == nil {
				_, err = io.Copy(io.Discard, q.Body)
			}
			return "/order", err
		}},
		{"suspended after it has read the request", 10, func(t *testing.T, c net.Conn, r *bufio.Reader) (string, error) {
			path, err := readRequestPath(r)
			dropInbound(t, c, pauseDuration)
			return path, err
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := startServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if path, err := c.pause(t, conn, r); err == nil {
					writeResponse(conn, path)
				}
			})
			client := kqsend.New(kqname.Address(p.Addr().String()), kqsend.WithDialer(kqsend.DialNode), kqsend.WithSilenceTimeout())
			order := call("/order", callTimeout)
			order.Request.SetBody(make([]byte, c.body))
			began := time.Now()
			if o := client.Do(order); o != kqcall.OK() {
				t.Errorf("got outcome %+v after %s, want answered", o, time.Since(began))
			}
		})
	}
}

// A peer that stays silent must not delay an idempotent call, which its caller can make
// again, even on a connection whose previous call was not idempotent.
func TestIdempotentCallGivesUpOnSilentPeer(t *testing.T) {
	p := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if path, err := readRequestPath(r); err == nil {
			writeResponse(c, path)
		}
		dropInbound(t, c, 2*pauseDuration)
	})
	client := kqsend.New(kqname.Address(p.Addr().String()), kqsend.WithDialer(kqsend.DialNode), kqsend.WithSilenceTimeout())
	if o := client.Do(call("/order", callTimeout)); o != kqcall.OK() {
		t.Fatalf("first call: got outcome %+v, want answered", o)
	}
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	idempotentCall := call("/look", callTimeout)
	idempotentCall.Idempotent = true
	if o := client.Do(idempotentCall); o.Result != kqcall.Unknown || time.Since(began) > pauseDuration {
		t.Errorf("got outcome %+v after %s, want unknown within %s", o, time.Since(began), pauseDuration)
	}
}

// dropInbound has the kernel drop all packets that arrive on a connection for a while, as
// on a suspended server.
func dropInbound(t *testing.T, c net.Conn, d time.Duration) {
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

// Guards against truncated responses: a node is suspended for some seconds while it streams
// a large one, and the receiver gives up although the rest comes as soon as the node
// resumes. No other response could replace one that has begun to arrive.
func TestStreamedResponseSurvivesSilentPeer(t *testing.T) {
	const size = 4 * kqsend.MaxBufferedBody
	p := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := readRequestPath(r); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, size/2))
		time.Sleep(100 * time.Millisecond)
		dropInbound(t, c, pauseDuration)
		_, _ = c.Write(make([]byte, size/2))
	})
	client := kqsend.New(kqname.Address(p.Addr().String()), kqsend.WithDialer(kqsend.DialNode), kqsend.WithSilenceTimeout())
	idempotentCall := call("/download", callTimeout)
	idempotentCall.Idempotent = true
	if o := client.Do(idempotentCall); o != kqcall.OK() {
		t.Fatalf("got outcome %+v, want answered", o)
	}
	if n, err := io.Copy(io.Discard, idempotentCall.Response.BodyStream()); n != size || err != nil {
		t.Errorf("read %d of %d bytes: %v", n, size, err)
	}
}
