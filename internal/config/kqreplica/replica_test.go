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

// source serves the objects of all versions; gate, if set, holds fetches back.
type source struct {
	mu      sync.Mutex
	objects kqresource.Objects
	lost    map[kqresource.Digest]bool
	gate    func(ctx context.Context, wanted []kqresource.Digest) error
	fetches atomic.Int64
}

func (s *source) Fetch(ctx context.Context, wanted []kqresource.Digest) (kqresource.Objects, error) {
	s.fetches.Add(1)
	if s.gate != nil {
		if err := s.gate(ctx, wanted); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(kqresource.Objects)
	for _, d := range wanted {
		data, ok := s.objects[d]
		if !ok || s.lost[d] {
			return nil, errors.New("lost")
		}
		found[d] = data
	}
	return found, nil
}

func host(i int) kqname.Host { return kqname.Host(fmt.Sprintf("host-%d", i)) }

// version makes a root whose every host leads to a service of its own and one
// that it shares with the next; mark makes its objects differ.
func version(t interface{ Fatal(...any) }, s *source, number, mark int) kqresource.Root {
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
	root.Version = kqname.ConfigVersion(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	for digest, data := range objects {
		s.objects[digest] = data
	}
	return root
}

func newSource() *source {
	return &source{objects: make(kqresource.Objects), lost: make(map[kqresource.Digest]bool)}
}

// closed reports the first route whose service the snapshot does not hold.
func closed(s *kqsnapshot.Snapshot) error {
	for i := range hosts {
		if _, held := s.Knows(host(i)); !held {
			continue
		}
		for _, path := range []string{"/", "/1/", "/2/", "/3/"} {
			r, ok := s.Match(kqsnapshot.Request{Host: host(i), Path: path, Header: func(string) string { return "" }})
			if !ok {
				return fmt.Errorf("host %d held without its route for %s", i, path)
			}
			if _, ok := s.Service(r.Service); !ok {
				return fmt.Errorf("route %s without its service", r.Name)
			}
		}
	}
	return nil
}

// Roots arrive in any order, some twice, some whose objects are lost and some
// that are bad, between calls for hosts. Whatever the order, callers must never
// see an older version than before, a route without its service, or a part of a
// bad version.
func TestVersionNeverFallsAndStaysWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSource()
		var roots []kqresource.Root
		bad := make(map[kqname.ConfigVersion]bool)
		for i := range 6 {
			root := version(t, s, i+1, rapid.IntRange(1, 3).Draw(t, "mark"))
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				s.lost[root.Hosts[host(i%hosts)][0]] = true
			case 1:
				bad[root.Version] = true
				delete(root.Services, "service-1")
			}
			roots = append(roots, root)
		}
		refused := 0
		r := kqreplica.New(s, kqreplica.WithRefused(func(string) { refused++ }), kqreplica.WithService("service-0"))
		var highest kqname.ConfigVersion
		for range 20 {
			if rapid.Bool().Draw(t, "offer") {
				_ = r.Offer(context.Background(), rapid.SampledFrom(roots).Draw(t, "root"))
			} else {
				_, _ = r.Want(context.Background(), host(rapid.IntRange(0, hosts-1).Draw(t, "host")), time.Unix(1, 0))
			}
			now := r.Current()
			if now.Version() < highest {
				t.Fatalf("version %d after %d", now.Version(), highest)
			}
			highest = now.Version()
			if err := closed(now); err != nil {
				t.Fatalf("version %d: %v", highest, err)
			}
			if _, held := now.Knows(host(0)); held && bad[highest] {
				t.Fatalf("host of bad version %d is held", highest)
			}
		}
	})
}

// One of the objects of version 2 does not come, and version 3 is already there.
// If version 2 held up the apply, callers would be served from version 1 for as
// long as the fetch takes.
func TestSlowFetchDoesNotHoldUpANewerVersion(t *testing.T) {
	s := newSource()
	first, second, third := version(t, s, 1, 1), version(t, s, 2, 2), version(t, s, 3, 3)
	r := kqreplica.New(s)
	if err := r.Offer(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Want(t.Context(), host(0), time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	slow, release := make(chan struct{}), make(chan struct{})
	s.gate = func(_ context.Context, wanted []kqresource.Digest) error {
		if wanted[0] == second.Hosts[host(0)][0] {
			close(slow)
			<-release
		}
		return nil
	}
	done := make(chan error, 1)
	go func() { done <- r.Offer(t.Context(), second) }()
	<-slow
	if err := r.Offer(t.Context(), third); err != nil {
		t.Fatal(err)
	}
	if v := r.Current().Version(); v != 3 {
		t.Fatalf("version %d in force while 2 is fetched", v)
	}
	close(release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if v := r.Current().Version(); v != 3 {
		t.Fatalf("version %d in force after 2 has come", v)
	}
}

// Many callers come at once for a host that is not held, and its fetch is slow.
// Each of them waits as long as its own deadline and no longer, and the source
// is asked once.
func TestAllWhoWantAHostShareOneFetch(t *testing.T) {
	s := newSource()
	root := version(t, s, 1, 1)
	r := kqreplica.New(s)
	if err := r.Offer(t.Context(), root); err != nil {
		t.Fatal(err)
	}
	before := s.fetches.Load()
	release := make(chan struct{})
	s.gate = func(context.Context, []kqresource.Digest) error { <-release; return nil }
	late, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := r.Want(late, host(2), time.Unix(1, 0)); !errors.Is(err, context.Canceled) {
		t.Fatalf("caller without time left: %v", err)
	}
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			if got, err := r.Want(t.Context(), host(2), time.Unix(1, 0)); err != nil || closed(got) != nil {
				t.Errorf("want: %v", err)
			}
		})
	}
	close(release)
	group.Wait()
	// One for the host and one for the services that its routes name.
	if n := s.fetches.Load() - before; n > 2 {
		t.Fatalf("%d fetches", n)
	}
}

func TestIdleInterestsShrinkTheSnapshot(t *testing.T) {
	s := newSource()
	root := version(t, s, 1, 1)
	r := kqreplica.New(s, kqreplica.WithService("service-0"))
	if err := r.Offer(t.Context(), root); err != nil {
		t.Fatal(err)
	}
	for i := range hosts {
		if _, err := r.Want(t.Context(), host(i), time.Unix(int64(10*i), 0)); err != nil {
			t.Fatal(err)
		}
	}
	if n := r.Sweep(time.Unix(25, 0)); n != 3 {
		t.Fatalf("dropped %d hosts", n)
	}
	if _, held := r.Current().Knows(host(0)); held {
		t.Fatal("idle host is still held")
	}
	if _, ok := r.Object(root.Hosts[host(0)][0]); ok {
		t.Fatal("object of an idle host is still held")
	}
	if _, held := r.Current().Knows(host(3)); !held || closed(r.Current()) != nil {
		t.Fatal("host in use was dropped")
	}
}

// A caller walks through every host of a fleet whose routes do not fit into the
// node's memory. The node keeps the ones used last and goes on serving.
func TestMemoryBudgetDropsTheHostsUsedLeast(t *testing.T) {
	s := newSource()
	root := version(t, s, 1, 1)
	bound := 0
	size := len(s.objects[root.Hosts[host(0)][0]])
	r := kqreplica.New(s, kqreplica.WithMemory(12*size, func() { bound++ }))
	if err := r.Offer(t.Context(), root); err != nil {
		t.Fatal(err)
	}
	for i := range hosts {
		if _, err := r.Want(t.Context(), host(i), time.Unix(int64(10*i), 0)); err != nil {
			t.Fatal(err)
		}
	}
	if _, held := r.Current().Knows(host(0)); held || bound == 0 {
		t.Fatalf("host 0 held is %v, budget bound %d times", held, bound)
	}
	if _, held := r.Current().Knows(host(3)); !held {
		t.Fatal("host used last was dropped")
	}
}
