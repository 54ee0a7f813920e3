package kqfetch_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqfetch"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// objectHolder holds one object and closes requested when it is first
	// requested.
	objectHolder struct {
		digest    kqresource.Digest
		data      []byte
		once      sync.Once
		requested chan struct{}
	}

	// silentPlatform never answers. It is also a send budget without a limit,
	// since its Delay is always 0.
	silentPlatform struct{}
)

func (h *objectHolder) Object(d kqresource.Digest) ([]byte, bool) {
	h.once.Do(func() { close(h.requested) })
	return h.data, d == h.digest
}

func (*objectHolder) Hosts() []kqname.Host { return nil }

func (silentPlatform) Fetch(ctx context.Context, _ []kqresource.Digest) (kqresource.Objects, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (silentPlatform) Delay(time.Time) time.Duration { return 0 }

// listen runs serve on a new listener until the test ends, and returns its address.
func listen(t *testing.T, serve func(ctx context.Context, l net.Listener)) kqname.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { serve(ctx, l) })
	t.Cleanup(func() {
		stop()
		_ = l.Close()
		group.Wait()
	})
	return kqname.Address(l.Addr().String())
}

// The readers of a failure domain are partitioned but not yet detected as dead, so
// connections to them are silent. A node that called one after the other would
// stay on an old version for seconds and route calls by outdated routes. The next
// peer must be called while the earlier calls are still in flight.
func TestSilentPeersDoNotDelayAVersion(t *testing.T) {
	data := []byte("routes")
	objects := &objectHolder{digest: kqresource.DigestOf(data), data: data, requested: make(chan struct{})}
	silent := func(ctx context.Context, l net.Listener) {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		defer stop()
		_, _ = io.Copy(io.Discard, conn)
		select {
		case <-objects.requested:
		case <-ctx.Done():
		default:
			t.Error("the call to a silent peer ended before the next peer was called")
		}
	}
	holder := listen(t, func(ctx context.Context, l net.Listener) {
		server, client := kqrpc.NewServer(nil), kqrpc.NewClient("holder", nil)
		defer client.Close()
		table := kqmember.NewTable(kqmember.Member{Node: "holder", Domain: "d", Service: "s"})
		kqfetch.New(server, client, table, silentPlatform{}, silentPlatform{}, 1000, 1).ServeFrom(objects)
		_ = server.Serve(ctx, l)
	})
	client := kqrpc.NewClient("self", nil)
	defer client.Close()
	table := kqmember.NewTable(kqmember.Member{Node: "self", Domain: "d", Service: "s"})
	table.Merge(kqmember.Member{Node: "r1", Domain: "d", Reader: true, Control: listen(t, silent), Incarnation: 1})
	table.Merge(kqmember.Member{Node: "r2", Domain: "d", Reader: true, Control: listen(t, silent), Incarnation: 1})
	table.Merge(kqmember.Member{Node: "holder", Domain: "d", Service: "s", Control: holder, Incarnation: 1})
	f := kqfetch.New(kqrpc.NewServer(nil), client, table, silentPlatform{}, silentPlatform{}, 1000, 1)
	found, err := f.Fetch(t.Context(), []kqresource.Digest{objects.digest})
	if err != nil || string(found[objects.digest]) != string(data) {
		t.Errorf("got %d objects and error %v, want the requested object", len(found), err)
	}
}
