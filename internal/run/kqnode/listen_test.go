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
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
)

// failingListener is a listener whose Accept fails with acceptErr while that is set.
type failingListener struct {
	net.Listener
	acceptErr atomic.Pointer[error]
}

func (f *failingListener) Accept() (net.Conn, error) {
	c, err := f.Listener.Accept()
	if acceptErr := f.acceptErr.Load(); acceptErr != nil && err == nil {
		_ = c.Close()
		return nil, *acceptErr
	}
	return c, err
}

// The entry's listener fails to accept. After a temporary failure, such as a lack of file
// descriptors, the node must serve again. After a permanent one it must drain and return
// the error, and not keep running without its entry.
func TestListenerFails(t *testing.T) {
	for name, c := range map[string]struct {
		acceptErr error
		ends      bool
	}{
		"no descriptors": {syscall.EMFILE, false}, "no memory": {syscall.ENOMEM, false}, "permanent": {syscall.EBADF, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var entry *failingListener
			s := kqsettings.Default()
			s.Node.Name, s.Node.Domain, s.Node.Region = "a", "one", "one"
			s.Node.EntryListen, s.Node.LocalListen, s.Node.GateListen, s.Node.ControlListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
			n, err := kqnode.New(s, kqfakestore.New(), kqnode.WithListener(func(r kqnode.Role, l net.Listener) net.Listener {
				if r != kqnode.RoleEntry {
					return l
				}
				entry = &failingListener{Listener: l}
				return entry
			}))
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			ended := make(chan error, 1)
			go func() { ended <- n.Run(ctx) }()
			entry.acceptErr.Store(&c.acceptErr)
			for range 3 {
				if conn, err := net.Dial("tcp", string(n.EntryAddress())); err == nil {
					_ = conn.Close()
				}
			}
			if c.ends {
				if err := <-ended; !errors.Is(err, c.acceptErr) {
					t.Errorf("the node ended with %v, want %v", err, c.acceptErr)
				}
				return
			}
			time.Sleep(200 * time.Millisecond)
			entry.acceptErr.Store(nil)
			a, err := http.Get("http://" + string(n.EntryAddress()) + "/")
			if err != nil {
				t.Fatalf("call after a temporary failure: %v", err)
			}
			_ = a.Body.Close()
			stop()
			if err := <-ended; err != nil {
				t.Errorf("the node ended with %v", err)
			}
		})
	}
}
