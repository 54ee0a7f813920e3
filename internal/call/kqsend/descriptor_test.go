package kqsend_test

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// dialerWithoutDescriptors returns a dialer whose first attempts fail because the process
// has no file descriptors left.
func dialerWithoutDescriptors(tries int) func(string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		if tries > 0 {
			tries--
			return nil, &net.OpError{Op: "dial", Err: syscall.EMFILE}
		}
		return net.Dial("tcp", address)
	}
}

// Guards against connect_failed for lack of a descriptor that is freed a moment later:
// callers that hold all of a node's descriptors disconnect, connections waiting at the
// entry take each one as it is freed, and none is left for an accepted call to connect to
// its upstream.
func TestCallWaitsForADescriptor(t *testing.T) {
	p := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if path, err := readRequestPath(r); err == nil {
			writeResponse(c, path)
		}
	})
	client := kqsend.New(kqname.Address(p.Addr().String()), kqsend.WithDialer(dialerWithoutDescriptors(5)))
	c := call("/one", callTimeout)
	if o := client.Do(c); o != kqcall.OK() || string(c.Response.Body()) != "/one" {
		t.Errorf("got %v %q, want the upstream's response", o, c.Response.Body())
	}
}

// If no descriptor is freed, the caller must learn within a second that its call did not
// run, or at its deadline if that comes first.
func TestDescriptorWaitIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		left, most time.Duration
		want       kqcall.Reason
	}{
		"deadline after the descriptor wait":       {callTimeout, time.Second, kqcall.ConnectFailed},
		"deadline before the descriptor wait ends": {50 * time.Millisecond, 300 * time.Millisecond, kqcall.NotStartedInTime},
	} {
		t.Run(name, func(t *testing.T) {
			client := kqsend.New("127.0.0.1:1", kqsend.WithDialer(dialerWithoutDescriptors(1<<30)))
			start := time.Now()
			if o := client.Do(call("/one", c.left)); o != kqcall.Refuse(c.want) {
				t.Errorf("got %v, want not_run: %s", o, c.want)
			}
			if took := time.Since(start); took > c.most {
				t.Errorf("refused after %v, want at most %v", took, c.most)
			}
		})
	}
}

// Any other dial error means that the peer is unreachable and is reported at once.
func TestOtherDialErrorsAreNotRetried(t *testing.T) {
	tries := 0
	client := kqsend.New("127.0.0.1:1", kqsend.WithDialer(func(string) (net.Conn, error) {
		tries++
		return nil, errors.New("server unreachable")
	}))
	if o := client.Do(call("/one", callTimeout)); o != kqcall.Refuse(kqcall.ConnectFailed) || tries != 1 {
		t.Errorf("got %v after %d tries, want not_run: connect_failed after one", o, tries)
	}
}
