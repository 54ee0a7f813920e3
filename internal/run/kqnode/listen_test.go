package kqnode_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
)

// failing is a listener that fails with an error while it is set.
type failing struct {
	net.Listener
	with atomic.Pointer[error]
}

func (f *failing) Accept() (net.Conn, error) {
	c, err := f.Listener.Accept()
	if with := f.with.Load(); with != nil && err == nil {
		_ = c.Close()
		return nil, *with
	}
	return c, err
}

// The entry cannot accept. For lack of descriptors, which passes, the node waits, and
// serves again; where its listener has failed for good it leaves in order and says why,
// and does not serve on in part.
func TestListenerFails(t *testing.T) {
	for name, c := range map[string]struct {
		with error
		ends bool
	}{
		"no descriptors": {syscall.EMFILE, false}, "no memory": {syscall.ENOMEM, false}, "for good": {syscall.EBADF, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var entry *failing
			s := kqsettings.Default()
			s.Node.Name, s.Node.Domain, s.Node.Region = "a", "one", "one"
			s.Node.EntryListen, s.Node.LocalListen, s.Node.GateListen, s.Node.ControlListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
			n, err := kqnode.New(s, kqstandin.New(), kqnode.WithListener(func(r kqnode.Role, l net.Listener) net.Listener {
				if r != kqnode.RoleEntry {
					return l
				}
				entry = &failing{Listener: l}
				return entry
			}))
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			ended := make(chan error, 1)
			go func() { ended <- n.Run(ctx) }()
			entry.with.Store(&c.with)
			for range 3 {
				if conn, err := net.Dial("tcp", string(n.EntryAddress())); err == nil {
					_ = conn.Close()
				}
			}
			if c.ends {
				if err := <-ended; !errors.Is(err, c.with) {
					t.Errorf("the node ended with %v, want %v", err, c.with)
				}
				return
			}
			time.Sleep(200 * time.Millisecond)
			entry.with.Store(nil)
			a, err := http.Get("http://" + string(n.EntryAddress()) + "/")
			if err != nil {
				t.Fatalf("a call afterwards: %v", err)
			}
			_ = a.Body.Close()
			stop()
			if err := <-ended; err != nil {
				t.Errorf("the node ended with %v", err)
			}
		})
	}
}
