package kqsend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against a large body that crosses the link to a server which has no room for it, and
// against an order that is reported as possibly run although its body was never sent: the peer
// asks for the body, declines it, falls silent, or closes the connection.
func TestLargeBodiesAreSentOnRequest(t *testing.T) {
	body := strings.Repeat("x", 40000)
	for name, c := range map[string]struct {
		answer string
		close  bool
		want   kqcall.Outcome
		sent   int
	}{
		"asks for the body": {"HTTP/1.1 100 Continue\r\n\r\n", false, kqcall.OK(), len(body)},
		"declines it":       {"HTTP/1.1 417 Expectation Failed\r\nContent-Length: 0\r\n\r\n", false, kqcall.Outcome{Result: kqcall.NotRun, Reason: kqcall.QueueFull, RetryAfter: time.Second}, 0},
		"is silent":         {"", false, kqcall.Refuse(kqcall.ConnectFailed), 0},
		"closes":            {"", true, kqcall.Refuse(kqcall.ConnectFailed), 0},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan int, 2)
			p := startServer(t, func(_ int, n net.Conn, r *bufio.Reader) {
				q, err := http.ReadRequest(r)
				if err != nil || q.Header.Get("Expect") != "100-continue" || q.ContentLength != int64(len(body)) {
					t.Errorf("announcement %+v, %v", q, err)
				}
				fmt.Fprint(n, c.answer)
				if c.close {
					_ = n.Close()
				}
				data, _ := io.ReadAll(q.Body)
				received <- len(data)
				if len(data) == len(body) {
					writeResponse(n, "/ok")
				}
			})
			order := call("/order", time.Second)
			order.Request.SetBodyString(body)
			began := time.Now()
			o := kqsend.New(kqname.Address(p.Addr().String()), kqsend.WithAnnouncedBodies(len(body))).Do(order)
			if o != c.want {
				t.Errorf("outcome %+v, want %+v", o, c.want)
			}
			if took := time.Since(began); took > 900*time.Millisecond {
				t.Errorf("the call took %s, no time is left for another server", took)
			}
			if len(order.Request.Header.Peek("Expect")) > 0 {
				t.Error("the header Expect is left for the next server")
			}
			if n := <-received; n != c.sent {
				t.Errorf("%d bytes of the body were sent, want %d", n, c.sent)
			}
		})
	}
}
