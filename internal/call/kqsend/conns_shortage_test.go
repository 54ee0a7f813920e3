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

// lacking connects only after so many tries that met a process without descriptors.
func lacking(tries int) func(string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		if tries > 0 {
			tries--
			return nil, &net.OpError{Op: "dial", Err: syscall.EMFILE}
		}
		return net.Dial("tcp", address)
	}
}

// Callers had held all of a node's descriptors, and went. The connections that queued at
// its entry took each descriptor as it became free, a call's own among them, and the call
// was refused with connect_failed: there was none left to connect to its upstream. A
// moment later there is one, and the call must be served.
func TestCallWaitsForADescriptor(t *testing.T) {
	p := newPeer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if path, err := request(r); err == nil {
			answer(c, path)
		}
	})
	client := kqsend.New(kqname.Address(p.Addr().String()), kqsend.WithDialer(lacking(5)))
	c := call("/one", patience)
	if o := client.Do(c); o != kqcall.OK() || string(c.Response.Body()) != "/one" {
		t.Errorf("got %v %q, want the upstream's answer", o, c.Response.Body())
	}
}

// The descriptors do not come back. The caller must hear within a second that its call
// did not run, and at its deadline if that comes before.
func TestCallDoesNotWaitForADescriptorForLong(t *testing.T) {
	for name, c := range map[string]struct {
		left, most time.Duration
		want       kqcall.Reason
	}{
		"long before its deadline": {patience, time.Second, kqcall.ConnectFailed},
		"short of its deadline":    {50 * time.Millisecond, 300 * time.Millisecond, kqcall.Late},
	} {
		t.Run(name, func(t *testing.T) {
			client := kqsend.New("127.0.0.1:1", kqsend.WithDialer(lacking(1<<30)))
			start := time.Now()
			if o := client.Do(call("/one", c.left)); o != kqcall.Refuse(c.want) {
				t.Errorf("got %v, want not_run: %s", o, c.want)
			}
			if took := time.Since(start); took > c.most {
				t.Errorf("it took %v, want %v at most", took, c.most)
			}
		})
	}
}

// Other failures say that the peer is not there, and are told at once.
func TestOtherFailuresToConnectAreToldAtOnce(t *testing.T) {
	tries := 0
	client := kqsend.New("127.0.0.1:1", kqsend.WithDialer(func(string) (net.Conn, error) {
		tries++
		return nil, errors.New("nobody is there")
	}))
	if o := client.Do(call("/one", patience)); o != kqcall.Refuse(kqcall.ConnectFailed) || tries != 1 {
		t.Errorf("got %v after %d tries, want not_run: connect_failed after one", o, tries)
	}
}
