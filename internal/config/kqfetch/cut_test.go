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
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// shelf holds one object and tells when it is asked for.
	shelf struct {
		digest kqresource.Digest
		data   []byte
		once   sync.Once
		asked  chan struct{}
	}

	// away is a platform that never answers.
	away struct{}
)

func (s *shelf) Object(d kqresource.Digest) ([]byte, bool) {
	s.once.Do(func() { close(s.asked) })
	return s.data, d == s.digest
}

func (*shelf) Hosts() []kqname.Host { return nil }

func (away) Fetch(ctx context.Context, _ []kqresource.Digest) (kqresource.Objects, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (away) Allow(time.Time) time.Duration { return 0 }

// listen serves until the test ends.
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

// The readers of a failure domain are cut off, and their peers do not know yet: a
// connection to them is silent. A node that waited for one after the other would
// stay on an old version for seconds, and answer callers by routes long gone. The
// next peer must be asked while the first are still waited for.
func TestSilentPeersDoNotHoldUpAVersion(t *testing.T) {
	data := []byte("routes")
	good := &shelf{digest: kqresource.DigestOf(data), data: data, asked: make(chan struct{})}
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
		case <-good.asked:
		case <-ctx.Done():
		default:
			t.Error("a silent peer was given up before the next one was asked")
		}
	}
	holder := listen(t, func(ctx context.Context, l net.Listener) {
		server, client := kqpeer.NewServer(nil), kqpeer.NewClient("holder", nil)
		defer client.Close()
		table := kqmember.NewTable(kqmember.Member{Node: "holder", Domain: "d", Service: "s"})
		kqfetch.New(server, client, table, away{}, away{}, 1000, 1).Serve(good)
		_ = server.Serve(ctx, l)
	})
	client := kqpeer.NewClient("self", nil)
	defer client.Close()
	table := kqmember.NewTable(kqmember.Member{Node: "self", Domain: "d", Service: "s"})
	table.Merge(kqmember.Member{Node: "r1", Domain: "d", Reader: true, Control: listen(t, silent), Incarnation: 1})
	table.Merge(kqmember.Member{Node: "r2", Domain: "d", Reader: true, Control: listen(t, silent), Incarnation: 1})
	table.Merge(kqmember.Member{Node: "holder", Domain: "d", Service: "s", Control: holder, Incarnation: 1})
	f := kqfetch.New(kqpeer.NewServer(nil), client, table, away{}, away{}, 1000, 1)
	found, err := f.Fetch(t.Context(), []kqresource.Digest{good.digest})
	if err != nil || string(found[good.digest]) != string(data) {
		t.Errorf("got %d objects, %v", len(found), err)
	}
}
