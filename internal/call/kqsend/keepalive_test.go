package kqsend_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

// Guards against calls that race with the upstream's close of an idle connection, so that
// their outcome is unknown: an upstream states a short Keep-Alive timeout, and the client
// keeps the connection for its own, longer idle timeout. Probing the connection just
// before the call does not help, since it is still open then.
func TestKeepAliveTimeoutOfUpstreamIsHonored(t *testing.T) {
	for _, c := range []struct {
		name, header string
		pause        time.Duration
		opened       int32
	}{
		{"after the timeout", "timeout=1", 1050 * time.Millisecond, 2},
		{"within the margin before the timeout", "max=100, timeout=1", 980 * time.Millisecond, 2},
		{"well before the timeout", "timeout=1", 100 * time.Millisecond, 1},
		{"no timeout stated", "max=100", 100 * time.Millisecond, 1},
		{"malformed timeout", "timeout=soon", 100 * time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := startServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				var last time.Time
				for ; ; last = time.Now() {
					path, err := readRequestPath(r)
					if err != nil || !last.IsZero() && time.Since(last) > 950*time.Millisecond {
						// The upstream's idle timer has fired: it closes without reading
						// the call.
						_ = conn.Close()
						return
					}
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: %s\r\nContent-Length: %d\r\n\r\n%s", c.header, len(path), path)
				}
			})
			client := p.client()
			for range 2 {
				if o := client.Do(call("/order", callTimeout)); o != kqcall.OK() {
					t.Fatalf("got outcome %+v, want the upstream's response", o)
				}
				time.Sleep(c.pause)
			}
			if n := p.opened.Load(); n != c.opened {
				t.Errorf("%d connections opened, want %d", n, c.opened)
			}
		})
	}
}
