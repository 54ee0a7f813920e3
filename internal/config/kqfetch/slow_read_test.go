package kqfetch_test

import (
	"context"
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

// timely is within which a fetch must end whose objects a peer holds.
const timely = time.Second

// slowStore never returns objects in time and has built none.
type slowStore struct{ silentPlatform }

// shelf holds objects for peers. It counts the requests for each and does not answer those for
// withheld ones until release is closed.
type shelf struct {
	objects  kqresource.Objects
	withheld map[kqresource.Digest]bool
	release  chan struct{}
	once     sync.Once

	mu       sync.Mutex
	requests map[kqresource.Digest]int
}

func (slowStore) BuiltObjects([]kqresource.Digest) kqresource.Objects {
	return make(kqresource.Objects)
}

func (s *shelf) Object(d kqresource.Digest) ([]byte, bool) {
	s.mu.Lock()
	s.requests[d]++
	s.mu.Unlock()
	if s.withheld[d] {
		<-s.release
	}
	data, ok := s.objects[d]
	return data, ok
}

func (*shelf) Hosts() []kqname.Host { return nil }

func newShelf(t *testing.T, hosts ...kqname.Host) (*shelf, []kqresource.Digest) {
	t.Helper()
	s := &shelf{objects: make(kqresource.Objects), withheld: make(map[kqresource.Digest]bool), release: make(chan struct{}), requests: make(map[kqresource.Digest]int)}
	var digests []kqresource.Digest
	for _, h := range hosts {
		d, err := s.objects.Add(kqresource.Host{Name: h})
		if err != nil {
			t.Fatal(err)
		}
		digests = append(digests, d)
	}
	return s, digests
}

// member runs a node that serves the shelf.
func (s *shelf) member(t *testing.T, name kqname.Node) kqmember.Member {
	t.Helper()
	address := listen(t, func(ctx context.Context, l net.Listener) {
		server, client := kqrpc.NewServer(nil), kqrpc.NewClient(name, nil)
		defer client.Close()
		kqfetch.New(server, client, kqmember.NewTable(kqmember.Member{Node: name, Domain: "d"}), silentPlatform{}, silentPlatform{}, 1000, 1).ServeFrom(s)
		_ = server.Serve(ctx, l)
	})
	// Cleanups run in reverse order: the server ends once no request is withheld.
	t.Cleanup(func() { s.once.Do(func() { close(s.release) }) })
	return kqmember.Member{Node: name, Domain: "d", Reader: true, Control: address, Incarnation: 1}
}

// newReader returns the fetcher of a reader whose store does not answer.
func newReader(t *testing.T, watchers ...kqmember.Member) *kqfetch.Fetcher {
	t.Helper()
	client := kqrpc.NewClient("self", nil)
	t.Cleanup(client.Close)
	f := kqfetch.New(kqrpc.NewServer(nil), client, kqmember.NewTable(kqmember.Member{Node: "self", Domain: "e", Reader: true}), slowStore{}, silentPlatform{}, 1000, 1)
	f.UseBuilder(slowStore{}, func() []kqmember.Member { return watchers })
	return f
}

// Guards against a watching node that waits for a silent store although other watchers have the version.
func TestWatcherWithASilentStoreFetchesFromPeers(t *testing.T) {
	s, digests := newShelf(t, "h")
	f := newReader(t, kqmember.Member{Node: "self", Domain: "e", Reader: true}, s.member(t, "other"))
	ctx, cancel := context.WithTimeout(t.Context(), timely)
	defer cancel()
	if found, err := f.Fetch(ctx, digests); err != nil || len(found) != 1 {
		t.Errorf("got %d objects and error %v, want 1", len(found), err)
	}
}

// Guards against a fetch that waits for another one, whose objects nobody has any more.
func TestFetchDoesNotWaitForOtherObjects(t *testing.T) {
	s, digests := newShelf(t, "gone", "new")
	s.withheld[digests[0]] = true
	f := newReader(t, s.member(t, "first"), s.member(t, "second"))
	var group conc.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), 2*timely)
	defer cancel()
	group.Go(func() { _, _ = f.Fetch(ctx, digests[:1]) })
	time.Sleep(50 * time.Millisecond)
	newCtx, cancelNew := context.WithTimeout(t.Context(), timely)
	defer cancelNew()
	if found, err := f.Fetch(newCtx, digests[1:]); err != nil || len(found) != 1 {
		t.Errorf("got %d objects and error %v, want 1", len(found), err)
	}
}

// Guards against a series of versions in which each cancels the fetch of the one before and all begins anew.
func TestCancelledFetchKeepsWhatItGot(t *testing.T) {
	holding, digests := newShelf(t, "kept", "slow")
	slow, _ := newShelf(t, "kept", "slow")
	delete(holding.objects, digests[1])
	slow.withheld[digests[1]] = true
	delete(slow.objects, digests[0])
	f := newReader(t, holding.member(t, "first"), slow.member(t, "second"))
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		_, _ = f.Fetch(ctx, digests)
		cancel()
	}
	holding.mu.Lock()
	defer holding.mu.Unlock()
	if n := holding.requests[digests[0]]; n != 1 {
		t.Errorf("an object was requested %d times, want once", n)
	}
}
