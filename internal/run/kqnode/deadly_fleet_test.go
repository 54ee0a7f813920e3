package kqnode_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// deadlyFleet is a fleet whose upstreams end under requests that contain the text deadly.
type deadlyFleet struct {
	t       *testing.T
	fleet   *kqfleet.Fleet
	servers []*kqfleet.Server
	serial  atomic.Int64
	group   conc.WaitGroup

	mu sync.Mutex
	// runs holds the work ids that upstreams have begun to run, in order.
	runs []string
}

// newDeadlyFleet starts servers in three failure domains. Each upstream ends after it has
// worked on a deadly call for that long.
func newDeadlyFleet(t *testing.T, servers int, after time.Duration) *deadlyFleet {
	t.Helper()
	f := &deadlyFleet{t: t, fleet: kqfleet.New(kqfleet.WithSettings(func(s *kqsettings.Settings) {
		s.Member.Heartbeat, s.Config.StartSpread, s.Member.UpstreamTTL = 100*time.Millisecond, 50*time.Millisecond, time.Second
	}))}
	o, err := kqcommit.New(f.fleet.Platform).Commit(t.Context(), kqcommit.Request{ID: "first", Author: "ana", Reason: "test", At: time.Unix(1, 0), Document: kqdocument.Document{
		Teams: []kqdocument.Team{{Name: "t"}}, Services: []kqdocument.Service{{Name: "store", Team: "t", Version: "v1"}},
		Routes: []kqdocument.Route{
			{Name: "r", Team: "t", Host: "store", PathPrefix: "/", Service: "store", Idempotent: true, MaxAttempts: 2},
			{Name: "brief", Team: "t", Host: "store", PathPrefix: "/brief", Service: "store", TimeoutMS: 300},
			{Name: "once", Team: "t", Host: "store", PathPrefix: "/once", Service: "store", NotIdempotent: true},
		},
	}})
	if err != nil || o.Status != kqcommit.Committed {
		t.Fatalf("commit ended as %+v, %v", o, err)
	}
	for i := range servers {
		s, err := f.fleet.Start(kqfleet.Spec{
			Node: kqname.Node(fmt.Sprintf("node-%d", i)), Domain: kqname.Domain(fmt.Sprintf("domain-%d", i%3)), Region: "north",
			Service: "store", Version: "v1", Slots: 8, Behaviour: kqupstream.Behaviour{Work: 5 * time.Millisecond, Deadly: deadly, DeadlyAfter: after},
		})
		if err != nil {
			t.Fatal(err)
		}
		f.observe(s.Upstream)
		f.servers = append(f.servers, s)
	}
	t.Cleanup(func() {
		f.group.Wait()
		if err := f.fleet.Close(); err != nil {
			t.Error(err)
		}
	})
	f.await("each entry knows each upstream", func() bool {
		for _, s := range f.servers {
			alive := 0
			for _, m := range s.Node.Members() {
				alive += len(m.Upstreams)
			}
			if alive < servers || f.call(s, "/usual", "") != fasthttp.StatusOK {
				return false
			}
		}
		return true
	})
	return f
}

func (f *deadlyFleet) observe(u *kqupstream.Upstream) {
	u.OnRun(func(r kqupstream.Run) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.runs = append(f.runs, r.Work)
	})
}

// restartUpstreams starts an upstream in place of each that ends, until the test ends.
func (f *deadlyFleet) restartUpstreams() {
	for _, s := range f.servers {
		f.group.Go(func() {
			for u := s.Upstream; ; {
				select {
				case <-f.t.Context().Done():
					return
				case <-u.Killed():
				}
				time.Sleep(200 * time.Millisecond)
				if f.t.Context().Err() != nil {
					return
				}
				next, err := s.StartUpstream("v1", 8, kqupstream.Behaviour{Work: 5 * time.Millisecond, Deadly: deadly})
				if err != nil {
					return
				}
				f.observe(next)
				u = next
			}
		})
	}
}

// call makes a call by a server's entry and returns its status, 0 without an answer.
func (f *deadlyFleet) call(s *kqfleet.Server, target, body string) int {
	var request fasthttp.Request
	var response fasthttp.Response
	request.SetRequestURI("http://" + string(s.Node.EntryAddress()) + target)
	request.Header.SetHost("store")
	request.UseHostHeader = true
	if body != "" {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBodyString(body)
	}
	request.Header.Set(kqupstream.HeaderWorkID, fmt.Sprintf("%s%s %d", target, body, f.serial.Add(1)))
	if strings.HasPrefix(target, "/long") {
		request.Header.Set(kqupstream.HeaderWorkMS, "400")
	}
	if fasthttp.DoTimeout(&request, &response, 5*time.Second) != nil {
		return 0
	}
	return response.StatusCode()
}

// runsOf returns how often upstreams have begun to run calls whose work id begins so.
func (f *deadlyFleet) runsOf(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, id := range f.runs {
		if len(id) >= len(prefix) && id[:len(prefix)] == prefix {
			count++
		}
	}
	return count
}

// serves reports how many of some usual calls by all entries are answered.
func (f *deadlyFleet) serves(calls int) int {
	answered := 0
	for i := range calls {
		if f.call(f.servers[i%len(f.servers)], "/usual", "") == fasthttp.StatusOK {
			answered++
		}
	}
	return answered
}

func (f *deadlyFleet) await(what string, done func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("not after 30 s: %s", what)
		}
	}
}
