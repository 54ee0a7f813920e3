package kqsend_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

// Orders ended as unknown now and then at upstreams that close idle connections soon and
// say so: the call crossed the upstream's close. The connection was taken to stay open for
// as long as this program keeps its own; looked at just before the call, it was open still.
func TestPeerStatesHowLongItKeepsAConnection(t *testing.T) {
	for _, c := range []struct {
		name, header string
		pause        time.Duration
		opened       int32
	}{
		{"past its time", "timeout=1", 1050 * time.Millisecond, 2},
		{"just before", "max=100, timeout=1", 980 * time.Millisecond, 2},
		{"well within", "timeout=1", 100 * time.Millisecond, 1},
		{"no time stated", "max=100", 100 * time.Millisecond, 1},
		{"cannot be read", "timeout=soon", 100 * time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPeer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				var last time.Time
				for ; ; last = time.Now() {
					path, err := request(r)
					if err != nil || !last.IsZero() && time.Since(last) > 950*time.Millisecond {
						// It was about to close, and has not read the call.
						_ = conn.Close()
						return
					}
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: %s\r\nContent-Length: %d\r\n\r\n%s", c.header, len(path), path)
				}
			})
			client := p.client()
			for range 2 {
				if o := client.Do(call("/order", patience)); o != kqcall.OK() {
					t.Fatalf("ended as %+v, want the peer's answer", o)
				}
				time.Sleep(c.pause)
			}
			if n := p.opened.Load(); n != c.opened {
				t.Errorf("%d connections, want %d", n, c.opened)
			}
		})
	}
}
