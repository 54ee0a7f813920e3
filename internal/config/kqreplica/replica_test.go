package kqreplica_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/config/kqreplica"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const hosts = 4

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// source serves the objects of all versions except the unavailable ones;
// beforeFetch, if set, can block or fail a fetch.
type source struct {
	mu          sync.Mutex
	objects     kqresource.Objects
	unavailable map[kqresource.Digest]bool
	beforeFetch func(ctx context.Context, wanted []kqresource.Digest) error
	// maxObjects, if set, is how many objects one fetch returns.
	maxObjects int
	fetches    atomic.Int64
}

func (s *source) Fetch(ctx context.Context, wanted []kqresource.Digest) (kqresource.Objects, error) {
	s.fetches.Add(1)
	if s.beforeFetch != nil {
		if err := s.beforeFetch(ctx, wanted); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(kqresource.Objects)
	if s.maxObjects > 0 {
		wanted = wanted[:min(len(wanted), s.maxObjects)]
	}
	for _, d := range wanted {
		data, ok := s.objects[d]
		if !ok || s.unavailable[d] {
			return nil, errors.New("object unavailable")
		}
		found[d] = data
	}
	return found, nil
}

func host(i int) kqname.Host { return kqname.Host(fmt.Sprintf("host-%d", i)) }

// newRoot adds a version's objects to the source and returns its root. Each host
// routes to a service of its own and to that of the next host; mark makes the
// objects of versions differ.
func newRoot(t interface{ Fatal(...any) }, s *source, version, mark int) kqresource.Root {
	d := kqdocument.Document{Teams: []kqdocument.Team{{Name: "lab"}}}
	for i := range hosts {
		name := kqname.Service(fmt.Sprintf("service-%d", i))
		d.Services = append(d.Services, kqdocument.Service{Name: name, Team: "lab", TimeoutMS: 1000 + mark})
		d.Routes = append(
			d.Routes,
			kqdocument.Route{Name: kqname.Route(fmt.Sprintf("r-%d", i)), Team: "lab", Host: host(i), PathPrefix: "/", Service: name},
			kqdocument.Route{
				Name: kqname.Route(fmt.Sprintf("s-%d", i)), Team: "lab", Host: host(i), PathPrefix: fmt.Sprintf("/%d/", mark),
				Service: kqname.Service(fmt.Sprintf("service-%d", (i+1)%hosts)),
			},
		)
	}
	root, objects, err := kqresource.Split(d)
	if err != nil {
		t.Fatal(err)
	}
	root.Version = kqname.ConfigVersion(version)
	s.mu.Lock()
	defer s.mu.Unlock()
	for digest, data := range objects {
		s.objects[digest] = data
	}
	return root
}

func newSource() *source {
	return &source{objects: make(kqresource.Objects), unavailable: make(map[kqresource.Digest]bool)}
}

// checkComplete returns an error if no route of a held host matches one of the paths, or
// the service of a matching route is not held.
func checkComplete(s *kqsnapshot.Snapshot) error {
	for i := range hosts {
		if _, held := s.HostStatus(host(i)); !held {
			continue
		}
		for _, path := range []string{"/", "/1/", "/2/", "/3/"} {
			r, ok := s.Match(kqsnapshot.Request{Host: host(i), Path: path, Header: func(string) string { return "" }})
			if !ok {
				return fmt.Errorf("host %d is held without a route for %s", i, path)
			}
			if _, ok := s.Service(r.Service); !ok {
				return fmt.Errorf("route %s is held without its service", r.Name)
			}
		}
	}
	return nil
}

// Roots arrive in random order and interleaved with requests for hosts; some
// arrive twice, some lack objects and some are invalid. The current version must
// never decrease, and no snapshot may hold a route without its service or a part
// of an invalid version.
func TestVersionNeverFallsAndStaysWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSource()
		var roots []kqresource.Root
		invalid := make(map[kqname.ConfigVersion]bool)
		for i := range 6 {
			root := newRoot(t, s, i+1, rapid.IntRange(1, 3).Draw(t, "mark"))
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				s.unavailable[root.Hosts[host(i%hosts)][0]] = true
			case 1:
				invalid[root.Version] = true
				delete(root.Services, "service-1")
			}
			roots = append(roots, root)
		}
		refused := 0
		r := kqreplica.New(s, kqreplica.WithOnRefused(func(string) { refused++ }), kqreplica.WithService("service-0"))
		var highest kqname.ConfigVersion
		for range 20 {
			if rapid.Bool().Draw(t, "apply root") {
				_ = r.ApplyRoot(context.Background(), rapid.SampledFrom(roots).Draw(t, "root"))
			} else {
				_, _ = r.EnsureHost(context.Background(), host(rapid.IntRange(0, hosts-1).Draw(t, "host")), time.Unix(1, 0))
			}
			now := r.Current()
			if now.Version() < highest {
				t.Fatalf("current version fell to %d from %d", now.Version(), highest)
			}
			highest = now.Version()
			if err := checkComplete(now); err != nil {
				t.Fatalf("version %d: %v", highest, err)
			}
			if _, held := now.HostStatus(host(0)); held && invalid[highest] {
				t.Fatalf("host of invalid version %d is held", highest)
			}
		}
	})
}

// The fetch of an object of version 2 blocks while version 3 is available. If
// version 2 blocked version 3, callers would be served from version 1 for as long
// as the fetch takes.
func TestSlowFetchDoesNotDelayNewerVersion(t *testing.T) {
	s := newSource()
	first, second, third := newRoot(t, s, 1, 1), newRoot(t, s, 2, 2), newRoot(t, s, 3, 3)
	r := kqreplica.New(s)
	if err := r.ApplyRoot(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	if _, err := r.EnsureHost(t.Context(), host(0), time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	slow, release := make(chan struct{}), make(chan struct{})
	s.beforeFetch = func(_ context.Context, wanted []kqresource.Digest) error {
		if wanted[0] == second.Hosts[host(0)][0] {
			close(slow)
			<-release
		}
		return nil
	}
	done := make(chan error, 1)
	go func() { done <- r.ApplyRoot(t.Context(), second) }()
	<-slow
	if err := r.ApplyRoot(t.Context(), third); err != nil {
		t.Fatal(err)
	}
	if v := r.Current().Version(); v != 3 {
		t.Fatalf("version %d is current while 2 is fetched, want 3", v)
	}
	close(release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if v := r.Current().Version(); v != 3 {
		t.Fatalf("version %d is current after 2 was fetched, want 3", v)
	}
}

// Guards against a version that is refused as incomplete although its last object has
// arrived: the source returns one object a fetch, and the last fetch allowed brings the last
// of them. The node would keep the old version and fetch everything again.
func TestObjectsOfTheLastFetchAreBuilt(t *testing.T) {
	s := newSource()
	root := newRoot(t, s, 1, 1)
	var refusals []string
	r := kqreplica.New(s, kqreplica.WithOnRefused(func(reason string) { refusals = append(refusals, reason) }),
		kqreplica.WithService("service-0"), kqreplica.WithService("service-1"),
		kqreplica.WithService("service-2"), kqreplica.WithService("service-3"))
	s.maxObjects = 1
	if err := r.ApplyRoot(t.Context(), root); err != nil {
		t.Errorf("apply after %d fetches: %v, refused as %v", s.fetches.Load(), err, refusals)
	}
	if v := r.Current().Version(); v != 1 {
		t.Errorf("version %d is current, want 1", v)
	}
}

// Guards against a source that never returns an object: the fetches must stay bounded.
func TestFetchesOfAVersionAreBounded(t *testing.T) {
	s := newSource()
	root := newRoot(t, s, 1, 1)
	r := kqreplica.New(emptySource{s}, kqreplica.WithService("service-0"))
	if err := r.ApplyRoot(t.Context(), root); !errors.Is(err, kqsnapshot.ErrIncomplete) {
		t.Errorf("got %v, want ErrIncomplete", err)
	}
	if n := s.fetches.Load(); n != 4 {
		t.Errorf("%d fetches, want 4", n)
	}
}

// emptySource counts fetches and returns no object.
type emptySource struct{ *source }

func (e emptySource) Fetch(context.Context, []kqresource.Digest) (kqresource.Objects, error) {
	e.fetches.Add(1)
	return nil, nil
}

// Many callers request a host that is not held, and its fetch is slow. Each must
// wait at most until its own deadline, and all must share one fetch.
func TestConcurrentRequestsForHostShareOneFetch(t *testing.T) {
	s := newSource()
	root := newRoot(t, s, 1, 1)
	r := kqreplica.New(s)
	if err := r.ApplyRoot(t.Context(), root); err != nil {
		t.Fatal(err)
	}
	before := s.fetches.Load()
	release := make(chan struct{})
	s.beforeFetch = func(context.Context, []kqresource.Digest) error { <-release; return nil }
	late, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := r.EnsureHost(late, host(2), time.Unix(1, 0)); !errors.Is(err, context.Canceled) {
		t.Fatalf("caller with an ended context: %v, want context.Canceled", err)
	}
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			if got, err := r.EnsureHost(t.Context(), host(2), time.Unix(1, 0)); err != nil || checkComplete(got) != nil {
				t.Errorf("host is not held with its routes and services, error %v", err)
			}
		})
	}
	close(release)
	group.Wait()
	// One for the host and one for the services that its routes name.
	if n := s.fetches.Load() - before; n > 2 {
		t.Fatalf("%d fetches, want at most 2", n)
	}
}

// Sweep must drop idle hosts and their objects, and keep the host in use.
func TestIdleInterestsShrinkTheSnapshot(t *testing.T) {
	s := newSource()
	root := newRoot(t, s, 1, 1)
	r := kqreplica.New(s, kqreplica.WithService("service-0"))
	if err := r.ApplyRoot(t.Context(), root); err != nil {
		t.Fatal(err)
	}
	for i := range hosts {
		if _, err := r.EnsureHost(t.Context(), host(i), time.Unix(int64(10*i), 0)); err != nil {
			t.Fatal(err)
		}
	}
	if n := r.Sweep(time.Unix(25, 0)); n != 3 {
		t.Fatalf("dropped %d hosts, want 3", n)
	}
	if _, held := r.Current().HostStatus(host(0)); held {
		t.Fatal("idle host is still held")
	}
	if _, ok := r.Object(root.Hosts[host(0)][0]); ok {
		t.Fatal("object of an idle host is still held")
	}
	if _, held := r.Current().HostStatus(host(3)); !held || checkComplete(r.Current()) != nil {
		t.Fatal("host in use was dropped or is incomplete")
	}
}

// A caller requests every host of a fleet whose routes do not fit into the node's
// memory budget. The node must keep the most recently used ones.
func TestMemoryBudgetDropsLeastRecentlyUsedHosts(t *testing.T) {
	s := newSource()
	root := newRoot(t, s, 1, 1)
	limitHits := 0
	size := len(s.objects[root.Hosts[host(0)][0]])
	r := kqreplica.New(s, kqreplica.WithMemoryBudget(12*size, func() { limitHits++ }))
	if err := r.ApplyRoot(t.Context(), root); err != nil {
		t.Fatal(err)
	}
	for i := range hosts {
		if _, err := r.EnsureHost(t.Context(), host(i), time.Unix(int64(10*i), 0)); err != nil {
			t.Fatal(err)
		}
	}
	if _, held := r.Current().HostStatus(host(0)); held || limitHits == 0 {
		t.Fatalf("host 0 held is %v, memory limit reported %d times", held, limitHits)
	}
	if _, held := r.Current().HostStatus(host(3)); !held {
		t.Fatal("most recently used host was dropped")
	}
}
