package kqnode_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/config/kqreader"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqlease"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const longest = 30 * time.Second

var errCut = errors.New("regions are cut from each other")

// world is a few nodes in two regions of one failure domain each, whose links
// and whose way to the platform can be cut.
type world struct {
	t        *testing.T
	platform *kqstandin.Standin
	commits  *kqcommit.Committer
	version  kqname.ConfigVersion
	cut      atomic.Bool
	mu       sync.Mutex
	regions  map[kqname.Address]kqname.Region
	nodes    []*resident
	group    conc.WaitGroup
}

type resident struct {
	*kqnode.Node
	region kqname.Region
	kill   context.CancelCauseFunc
	done   chan struct{}
}

// cutStore is the platform as a region sees it that can be cut off.
type cutStore struct {
	kqstore.Store
	cut func() bool
}

func (c cutStore) Get(ctx context.Context, key string) (kqstore.Entry, error) {
	if c.cut() {
		return kqstore.Entry{}, kqstore.ErrUnavailable
	}
	return c.Store.Get(ctx, key)
}

func (c cutStore) Watch(ctx context.Context, key string, after kqstore.Revision, wait time.Duration) (kqstore.Entry, error) {
	e, err := c.Store.Watch(ctx, key, after, wait)
	if c.cut() {
		return kqstore.Entry{}, kqstore.ErrUnavailable
	}
	return e, err
}

func (c cutStore) Renew(ctx context.Context, l kqstore.Lease) error {
	if c.cut() {
		return kqstore.ErrUnavailable
	}
	return c.Store.Renew(ctx, l)
}

func newWorld(t *testing.T, nodes int) *world {
	t.Helper()
	w := &world{t: t, platform: kqstandin.New(), regions: make(map[kqname.Address]kqname.Region)}
	w.commits = kqcommit.New(w.platform)
	w.commit()
	t.Cleanup(func() {
		for _, n := range w.nodes {
			n.kill(kqnode.ErrKilled)
		}
		w.group.Wait()
	})
	for i := range nodes {
		w.start(i, nil)
	}
	w.await("every node has every other and version 1", func() bool { return w.all(1) && w.alive(nodes) })
	return w
}

func (w *world) start(i int, seeds []string) *resident {
	w.t.Helper()
	region := kqname.Region(fmt.Sprintf("region-%d", i%2))
	s := kqsettings.Default()
	s.Node.Name, s.Node.Region, s.Node.Domain = kqname.Node(fmt.Sprintf("node-%d", i)), region, kqname.Domain(region+"-a")
	s.Node.Service = "store"
	for _, a := range []*kqname.Address{&s.Node.EntryListen, &s.Node.LocalListen, &s.Node.GateListen, &s.Node.ControlListen} {
		*a = "127.0.0.1:0"
	}
	s.Member.Heartbeat, s.Config.StartSpread, s.Member.Seeds = 100*time.Millisecond, 50*time.Millisecond, seeds
	if len(w.nodes) > 0 && seeds == nil {
		s.Member.Seeds = []string{string(w.nodes[0].ControlAddress())}
	}
	n, err := kqnode.New(s, cutStore{w.platform, func() bool { return w.cut.Load() && region == "region-1" }},
		kqnode.WithPeerOptions(kqpeer.WithDialer(func(ctx context.Context, to kqname.Address) (net.Conn, error) {
			return w.dial(ctx, region, to)
		})))
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, kill := context.WithCancelCause(context.Background())
	r := &resident{Node: n, region: region, kill: kill, done: make(chan struct{})}
	w.mu.Lock()
	w.regions[n.ControlAddress()] = region
	w.mu.Unlock()
	w.nodes = append(w.nodes, r)
	w.group.Go(func() {
		defer close(r.done)
		_ = n.Run(ctx)
	})
	return r
}

func (w *world) dial(ctx context.Context, from kqname.Region, to kqname.Address) (net.Conn, error) {
	w.mu.Lock()
	region, known := w.regions[to]
	w.mu.Unlock()
	across := known && region != from
	if across && w.cut.Load() {
		return nil, errCut
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return &cutConn{Conn: conn, cut: func() bool { return across && w.cut.Load() }}, nil
}

// cutConn fails once its region is cut off.
type cutConn struct {
	net.Conn
	cut func() bool
}

func (c *cutConn) Write(b []byte) (int, error) {
	if c.cut() {
		_ = c.Close()
		return 0, errCut
	}
	return c.Conn.Write(b)
}

func (w *world) commit() {
	w.t.Helper()
	o, err := w.commits.Commit(context.Background(), kqcommit.Request{
		ID: fmt.Sprintf("change-%d", w.version+1), Base: w.version, Author: "test", Reason: "test", At: time.Now(),
		Document: kqdocument.Document{
			Teams:    []kqdocument.Team{{Name: "team"}},
			Services: []kqdocument.Service{{Name: "store", Team: "team", TimeoutMS: 100 + int(w.version)}},
			Routes:   []kqdocument.Route{{Name: "store", Team: "team", Host: "store", PathPrefix: "/", Service: "store"}},
		},
	})
	if err != nil || o.Status != kqcommit.Committed {
		w.t.Fatalf("commit: %+v, %v", o, err)
	}
	w.version = o.Version
}

func (w *world) await(what string, done func() bool) {
	w.t.Helper()
	for end := time.Now().Add(longest); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("never: %s", what)
		}
	}
}

// read reports whether a failure domain has a reader.
func (w *world) read(d kqname.Domain) bool {
	for slot := range kqlease.Slots {
		if _, err := w.platform.Get(w.t.Context(), kqreader.SlotKey(d, slot)); err == nil {
			return true
		}
	}
	return false
}

func (w *world) all(v kqname.ConfigVersion) bool {
	for _, n := range w.nodes {
		if n.Version() < v {
			return false
		}
	}
	return true
}

// alive reports whether every node holds that many members to be alive.
func (w *world) alive(count int) bool {
	for _, n := range w.nodes {
		if n.count(kqmember.Alive) != count {
			return false
		}
	}
	return true
}

func (r *resident) count(state kqmember.State) int {
	count := 0
	for _, m := range r.Members() {
		if m.State == state {
			count++
		}
	}
	return count
}

// Two regions lose each other, and one of them the platform too, for longer than
// it takes to hold the other's servers to be dead. The users of each region go
// on with what that region has. When the cut heals, the word from beyond it must
// not take the region's own upstreams out of service, and the newest version is
// in force everywhere.
func TestRegionsThatWereCutApartJoinAgain(t *testing.T) {
	w := newWorld(t, 8)
	// A region that has only started has no reader for its first second or so, and hears
	// of a change from its first one.
	w.await("each region has a reader", func() bool { return w.read("region-0-a") && w.read("region-1-a") })
	w.cut.Store(true)
	w.commit()
	w.await("each region holds the other's nodes to be dead", func() bool {
		for _, n := range w.nodes {
			if n.count(kqmember.Dead) != 4 || n.count(kqmember.Alive) != 4 {
				return false
			}
		}
		return true
	})
	for _, n := range w.nodes {
		if want := map[kqname.Region]kqname.ConfigVersion{"region-0": 2, "region-1": 1}[n.region]; n.Version() != want {
			t.Errorf("%s in %s has version %d while cut", n.Name(), n.region, n.Version())
		}
	}
	w.cut.Store(false)
	w.await("all are joined at version 2", func() bool {
		for _, n := range w.nodes {
			for _, m := range n.Members() {
				if m.Region == n.region && m.State == kqmember.Dead {
					t.Fatalf("%s holds %s of its own region to be dead", n.Name(), m.Node)
				}
			}
		}
		return w.all(2) && w.alive(8)
	})
}

// The platform is down, and meanwhile servers are lost and replaced, one of them
// without any seed. Callers of the replaced ones must be served from the fleet's
// version: its peers are all that can give it.
func TestReplacedNodesGetTheVersionFromPeers(t *testing.T) {
	w := newWorld(t, 6)
	w.commit()
	w.await("version 2 everywhere", func() bool { return w.all(2) })
	w.platform.SetFaults(kqstandin.Faults{Down: true})
	gone := w.nodes[5]
	gone.kill(kqnode.ErrKilled)
	<-gone.done
	w.nodes = w.nodes[:5]
	fresh := w.start(5, nil)
	w.await("the replaced node serves", fresh.Ready)
	if v := fresh.Version(); v != 2 {
		t.Fatalf("the replaced node serves version %d", v)
	}
	w.await("all know the replaced node", func() bool { return w.alive(6) })
	if !w.all(2) {
		t.Fatal("a node went back")
	}
}

// Every lease lapses at once, as if all readers had been paused together, and a
// change is made at that moment. It must still reach everybody, from whoever
// reads next.
func TestChangeWhileAllLeasesLapse(t *testing.T) {
	w := newWorld(t, 6)
	for range 3 {
		w.platform.SetFaults(kqstandin.Faults{LapseLeases: true})
		w.commit()
		w.await("the change is in force", func() bool { return w.all(w.version) })
	}
	w.await("each domain has its readers again", func() bool {
		readers := make(map[kqname.Domain]int)
		for _, m := range w.nodes[0].Members() {
			if m.Reader && m.State == kqmember.Alive {
				readers[m.Domain]++
			}
		}
		return len(readers) == 2 && readers["region-0-a"] > 0 && readers["region-1-a"] > 0
	})
}

// A server is shut down while the others send to its upstream. They must hear
// that it leaves while it still finishes what it has.
func TestLeavingNodeIsKnownEverywhere(t *testing.T) {
	w := newWorld(t, 8)
	leaver := w.nodes[3]
	leaver.kill(context.Canceled)
	<-leaver.done
	w.nodes = append(w.nodes[:3:3], w.nodes[4:]...)
	w.await("nobody counts on the node that left", func() bool { return w.alive(7) })
}
