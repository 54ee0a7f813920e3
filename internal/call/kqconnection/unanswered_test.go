package kqconnection_test

import (
	"io"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
	"github.com/kumquatgw/kumquatgw/internal/call/kqexchange"
)

// Guards against requests that are left without a response and appear in no log and no count.
func TestCloseWithoutAResponseIsReported(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, c := range map[string]struct {
		read, respond, leave bool
		want                 []kqexchange.Phase
	}{
		"read, not answered": {read: true, want: []kqexchange.Phase{kqexchange.Receiving}},
		"not read":           {want: []kqexchange.Phase{kqexchange.Idle}},
		"answered":           {read: true, respond: true},
		"client has left":    {read: true, leave: true},
	} {
		t.Run(name, func(t *testing.T) {
			var got []kqexchange.Phase
			server, caller, done := openConnection(t, kqconnection.WithUnanswered(func(p kqexchange.Phase, _ time.Duration) { got = append(got, p) }))
			defer done()
			if _, err := io.WriteString(caller, request); err != nil {
				t.Fatal(err)
			}
			if c.read {
				if _, err := server.Read(make([]byte, 4096)); err != nil {
					t.Fatal(err)
				}
			}
			if c.respond {
				if _, err := io.WriteString(server, "HTTP/1.1 204 No Content\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
			}
			if c.leave {
				_ = caller.Close()
			}
			time.Sleep(50 * time.Millisecond)
			_ = server.Close()
			if len(got) != len(c.want) || len(got) > 0 && got[0] != c.want[0] {
				t.Errorf("reported %v, want %v", got, c.want)
			}
		})
	}
}
