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
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const convergenceTimeout = 30 * time.Second

var errPartitioned = errors.New("network partition between regions")

// regionalFleet is a fleet in two regions of one failure domain each. While partitioned is
// set, the regions cannot reach each other, and region-1 cannot reach the platform.
type regionalFleet struct {
	t           *testing.T
	platform    *kqfakestore.Fake
	commits     *kqcommit.Committer
	version     kqname.ConfigVersion
	partitioned atomic.Bool
	mu          sync.Mutex
	regions     map[kqname.Address]kqname.Region
	nodes       []*fleetNode
	group       conc.WaitGroup
}

type fleetNode struct {
	*kqnode.Node
	region kqname.Region
	// stop ends the node: at once with ErrKilled, else with a drain.
	stop context.CancelCauseFunc
	done chan struct{}
}

// partitionableStore is the platform's store, whose Get, Watch and Renew fail while
// partitioned returns true. Other methods still reach the store.
type partitionableStore struct {
	kqstore.Store
	partitioned func() bool
}

func (c partitionableStore) Get(ctx context.Context, key string) (kqstore.Entry, error) {
	if c.partitioned() {
		return kqstore.Entry{}, kqstore.ErrUnavailable
	}
	return c.Store.Get(ctx, key)
}

func (c partitionableStore) Watch(ctx context.Context, key string, after kqstore.Revision, wait time.Duration) (kqstore.Entry, error) {
	e, err := c.Store.Watch(ctx, key, after, wait)
	if c.partitioned() {
		return kqstore.Entry{}, kqstore.ErrUnavailable
	}
	return e, err
}

func (c partitionableStore) Renew(ctx context.Context, l kqstore.Lease) error {
	if c.partitioned() {
		return kqstore.ErrUnavailable
	}
	return c.Store.Renew(ctx, l)
}

func newRegionalFleet(t *testing.T, nodes int) *regionalFleet {
	t.Helper()
	f := &regionalFleet{t: t, platform: kqfakestore.New(), regions: make(map[kqname.Address]kqname.Region)}
	f.commits = kqcommit.New(f.platform)
	f.commit()
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop(kqnode.ErrKilled)
		}
		f.group.Wait()
	})
	for i := range nodes {
		f.start(i, nil)
	}
	f.await("all nodes see each other and have version 1", func() bool { return f.allReached(1) && f.allAlive(nodes) })
	return f
}

func (f *regionalFleet) start(i int, seeds []string) *fleetNode {
	f.t.Helper()
	region := kqname.Region(fmt.Sprintf("region-%d", i%2))
	s := kqsettings.Default()
	s.Node.Name, s.Node.Region, s.Node.Domain = kqname.Node(fmt.Sprintf("node-%d", i)), region, kqname.Domain(region+"-a")
	s.Node.Service = "store"
	for _, a := range []*kqname.Address{&s.Node.EntryListen, &s.Node.LocalListen, &s.Node.GateListen, &s.Node.ControlListen} {
		*a = "127.0.0.1:0"
	}
	s.Member.Heartbeat, s.Config.StartSpread, s.Member.Seeds = 100*time.Millisecond, 50*time.Millisecond, seeds
	if len(f.nodes) > 0 && seeds == nil {
		s.Member.Seeds = []string{string(f.nodes[0].ControlAddress())}
	}
	n, err := kqnode.New(s, partitionableStore{f.platform, func() bool { return f.partitioned.Load() && region == "region-1" }},
		kqnode.WithPeerOptions(kqrpc.WithDialer(func(ctx context.Context, to kqname.Address) (net.Conn, error) {
			return f.dial(ctx, region, to)
		})))
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancelCause(context.Background())
	r := &fleetNode{Node: n, region: region, stop: stop, done: make(chan struct{})}
	f.mu.Lock()
	f.regions[n.ControlAddress()] = region
	f.mu.Unlock()
	f.nodes = append(f.nodes, r)
	f.group.Go(func() {
		defer close(r.done)
		_ = n.Run(ctx)
	})
	return r
}

func (f *regionalFleet) dial(ctx context.Context, from kqname.Region, to kqname.Address) (net.Conn, error) {
	f.mu.Lock()
	region, known := f.regions[to]
	f.mu.Unlock()
	across := known && region != from
	if across && f.partitioned.Load() {
		return nil, errPartitioned
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return &partitionableConn{Conn: conn, partitioned: func() bool { return across && f.partitioned.Load() }}, nil
}

// partitionableConn is a connection that its next write closes while partitioned returns
// true; until then reads still work.
type partitionableConn struct {
	net.Conn
	partitioned func() bool
}

func (c *partitionableConn) Write(b []byte) (int, error) {
	if c.partitioned() {
		_ = c.Close()
		return 0, errPartitioned
	}
	return c.Conn.Write(b)
}

func (f *regionalFleet) commit() {
	f.t.Helper()
	o, err := f.commits.Commit(context.Background(), kqcommit.Request{
		ID: fmt.Sprintf("change-%d", f.version+1), Base: f.version, Author: "test", Reason: "test", At: time.Now(),
		Document: kqdocument.Document{
			Teams:    []kqdocument.Team{{Name: "team"}},
			Services: []kqdocument.Service{{Name: "store", Team: "team", TimeoutMS: 100 + int(f.version)}},
			Routes:   []kqdocument.Route{{Name: "store", Team: "team", Host: "store", PathPrefix: "/", Service: "store"}},
		},
	})
	if err != nil || o.Status != kqcommit.Committed {
		f.t.Fatalf("commit: %+v, %v", o, err)
	}
	f.version = o.Version
}

func (f *regionalFleet) await(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(convergenceTimeout); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// hasReader reports whether a node of the failure domain holds a lease to read versions
// from the platform for the other nodes.
func (f *regionalFleet) hasReader(d kqname.Domain) bool {
	for slot := range kqlease.ReadersPerDomain {
		if _, err := f.platform.Get(f.t.Context(), kqreader.SlotKey(d, slot)); err == nil {
			return true
		}
	}
	return false
}

// allReached reports whether every node has version v or a later one.
func (f *regionalFleet) allReached(v kqname.ConfigVersion) bool {
	for _, n := range f.nodes {
		if n.Version() < v {
			return false
		}
	}
	return true
}

// allAlive reports whether every node sees that many members alive.
func (f *regionalFleet) allAlive(count int) bool {
	for _, n := range f.nodes {
		if n.count(kqmember.Alive) != count {
			return false
		}
	}
	return true
}

func (r *fleetNode) count(state kqmember.State) int {
	count := 0
	for _, m := range r.Members() {
		if m.State == state {
			count++
		}
	}
	return count
}

// Two regions are partitioned from each other, and one of them from the platform too, long
// enough for each to consider the other's nodes dead. Each region continues with its own
// upstreams and version. After the partition, no node may consider a node of its own region
// dead because of the other region's records: that would take the region's own upstreams out
// of service. The newest version must be in force everywhere.
func TestRegionsRejoinAfterPartition(t *testing.T) {
	f := newRegionalFleet(t, 8)
	// A failure domain, here one in each region, has no reader for about a second after its
	// start, and learns of changes only through one.
	f.await("each failure domain has a reader", func() bool { return f.hasReader("region-0-a") && f.hasReader("region-1-a") })
	f.partitioned.Store(true)
	f.commit()
	f.await("each region considers the other's nodes dead", func() bool {
		for _, n := range f.nodes {
			if n.count(kqmember.Dead) != 4 || n.count(kqmember.Alive) != 4 {
				return false
			}
		}
		return true
	})
	for _, n := range f.nodes {
		if want := map[kqname.Region]kqname.ConfigVersion{"region-0": 2, "region-1": 1}[n.region]; n.Version() != want {
			t.Errorf("%s in %s has version %d during the partition", n.Name(), n.region, n.Version())
		}
	}
	f.partitioned.Store(false)
	f.await("all nodes see each other and have version 2", func() bool {
		for _, n := range f.nodes {
			for _, m := range n.Members() {
				if m.Region == n.region && m.State == kqmember.Dead {
					t.Fatalf("%s considers %s of its own region dead", n.Name(), m.Node)
				}
			}
		}
		return f.allReached(2) && f.allAlive(8)
	})
}

// A server is lost and replaced while the platform is down. The new node must serve the
// fleet's version, which only its peers can provide.
func TestReplacedNodesGetTheVersionFromPeers(t *testing.T) {
	f := newRegionalFleet(t, 6)
	f.commit()
	f.await("version 2 everywhere", func() bool { return f.allReached(2) })
	f.platform.SetFaults(kqfakestore.Faults{Down: true})
	gone := f.nodes[5]
	gone.stop(kqnode.ErrKilled)
	<-gone.done
	f.nodes = f.nodes[:5]
	fresh := f.start(5, nil)
	f.await("the replaced node is ready", fresh.Ready)
	if v := fresh.Version(); v != 2 {
		t.Fatalf("the replaced node has version %d, want 2", v)
	}
	f.await("all nodes see the replaced node", func() bool { return f.allAlive(6) })
	if !f.allReached(2) {
		t.Fatal("a node went back to an older version")
	}
}

// All readers' leases expire at once, as after a pause of all of them, and a change is
// committed at that moment. It must still reach all nodes, and each failure domain must have
// a reader again.
func TestChangeWhileAllLeasesLapse(t *testing.T) {
	f := newRegionalFleet(t, 6)
	for range 3 {
		f.platform.SetFaults(kqfakestore.Faults{LapseLeases: true})
		f.commit()
		f.await("the change is in force", func() bool { return f.allReached(f.version) })
	}
	f.await("each domain has its readers again", func() bool {
		readers := make(map[kqname.Domain]int)
		for _, m := range f.nodes[0].Members() {
			if m.Reader && m.State == kqmember.Alive {
				readers[m.Domain]++
			}
		}
		return len(readers) == 2 && readers["region-0-a"] > 0 && readers["region-1-a"] > 0
	})
}

// A node that is shut down must announce that it leaves, so that the other nodes stop
// counting it as alive.
func TestLeavingNodeIsKnownEverywhere(t *testing.T) {
	f := newRegionalFleet(t, 8)
	leaver := f.nodes[3]
	leaver.stop(context.Canceled)
	<-leaver.done
	f.nodes = append(f.nodes[:3:3], f.nodes[4:]...)
	f.await("no node sees the node that left as alive", func() bool { return f.allAlive(7) })
}
