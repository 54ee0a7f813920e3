package kqnode_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// evacuationBound is the users' bound from an order to the last call that it forbids.
const evacuationBound = 5 * time.Second

// evacuableFleet is a fleet of one server in each of three failure domains.
type evacuableFleet struct {
	t       *testing.T
	fleet   *kqfleet.Fleet
	commits *kqcommit.Committer
	version kqname.ConfigVersion
	servers []*kqfleet.Server
	// runs counts the calls that the upstream of each server has run.
	runs [3]atomic.Int64
}

func newEvacuableFleet(t *testing.T) *evacuableFleet {
	t.Helper()
	f := &evacuableFleet{t: t, fleet: kqfleet.New(kqfleet.WithSettings(func(s *kqsettings.Settings) {
		s.Member.Heartbeat, s.Config.StartSpread = 100*time.Millisecond, 50*time.Millisecond
	}))}
	f.commits = kqcommit.New(f.fleet.Platform)
	f.evacuate()
	for i, domain := range []kqname.Domain{"a", "b", "c"} {
		s, err := f.fleet.Start(kqfleet.Spec{
			Node: kqname.Node("node-" + string(domain)), Domain: domain, Region: "north",
			Service: "store", Version: "v1", Slots: 8, Behaviour: kqupstream.Behaviour{Work: time.Millisecond},
		})
		if err != nil {
			t.Fatal(err)
		}
		s.Upstream.OnRun(func(kqupstream.Run) { f.runs[i].Add(1) })
		f.servers = append(f.servers, s)
	}
	t.Cleanup(func() {
		if err := f.fleet.Close(); err != nil {
			t.Error(err)
		}
	})
	f.await("every upstream runs calls", func() bool {
		f.callAll()
		return f.runs[0].Load() > 0 && f.runs[1].Load() > 0 && f.runs[2].Load() > 0
	})
	return f
}

// evacuate commits a document in which just these failure domains are evacuated.
func (f *evacuableFleet) evacuate(domains ...kqname.Domain) {
	f.t.Helper()
	d := kqdocument.Document{
		Teams: []kqdocument.Team{{Name: "t"}}, Services: []kqdocument.Service{{Name: "store", Team: "t", Version: "v1"}},
		Routes: []kqdocument.Route{{Name: "r", Team: "t", Host: "store", PathPrefix: "/", Service: "store"}},
	}
	for _, domain := range domains {
		d.Evacuations = append(d.Evacuations, kqdocument.Evacuation{Name: domain})
	}
	o, err := f.commits.Commit(f.t.Context(), kqcommit.Request{
		ID: fmt.Sprintf("evacuate-%d", f.version), Base: f.version, Author: "ana", Reason: "test", At: time.Unix(1, 0), Document: d,
	})
	if err != nil || o.Status != kqcommit.Committed {
		f.t.Fatalf("commit ended as %+v, %v", o, err)
	}
	f.version = o.Version
}

// call calls the service by a server's entry and returns the status and the reason of a
// refusal.
func (f *evacuableFleet) call(s *kqfleet.Server) (int, string) {
	f.t.Helper()
	var request fasthttp.Request
	var response fasthttp.Response
	request.SetRequestURI("http://" + string(s.Node.EntryAddress()) + "/")
	request.Header.SetHost("store")
	request.UseHostHeader = true
	if err := fasthttp.DoTimeout(&request, &response, 5*time.Second); err != nil {
		f.t.Fatal(err)
	}
	return response.StatusCode(), string(response.Header.Peek("Kq-Reason"))
}

// callAll makes some calls by every entry and returns how many were not answered.
func (f *evacuableFleet) callAll() int {
	f.t.Helper()
	refused := 0
	for range 10 {
		for _, s := range f.servers {
			if status, _ := f.call(s); status != fasthttp.StatusOK {
				refused++
			}
		}
	}
	return refused
}

func (f *evacuableFleet) await(what string, done func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("not after 30 s: %s", what)
		}
	}
}

// awaitVersion waits until all nodes have the version in force, for at most evacuationBound.
func (f *evacuableFleet) awaitVersion() {
	f.t.Helper()
	ordered := time.Now()
	f.await("all nodes have the order", func() bool {
		for _, s := range f.servers {
			if s.Node.Version() < f.version {
				return false
			}
		}
		return true
	})
	if took := time.Since(ordered); took > evacuationBound {
		f.t.Errorf("the order was in force after %v, want at most %v", took, evacuationBound)
	}
}

// Guards against calls that reach an evacuated failure domain, from any entry, and against
// callers in that domain who are refused while the others have room.
func TestEvacuatedDomainGetsNoCalls(t *testing.T) {
	t.Parallel()
	f := newEvacuableFleet(t)
	f.evacuate("b", "no-such-domain")
	f.awaitVersion()
	before := f.runs[1].Load()
	if refused := f.callAll(); refused > 0 {
		t.Errorf("%d calls refused while two domains serve", refused)
	}
	if after := f.runs[1].Load(); after != before {
		t.Errorf("%d calls ran in the evacuated domain", after-before)
	}
	f.evacuate()
	f.awaitVersion()
	f.await("the domain gets calls again", func() bool { return f.callAll() == 0 && f.runs[1].Load() > before })
}

// Guards against an order that is taken back and given again at once, and takes no effect.
func TestEvacuationGivenAgainAtOnce(t *testing.T) {
	t.Parallel()
	f := newEvacuableFleet(t)
	for range 3 {
		f.evacuate("b")
		f.evacuate()
	}
	f.evacuate("b")
	f.awaitVersion()
	before := f.runs[1].Load()
	f.callAll()
	if after := f.runs[1].Load(); after != before {
		t.Errorf("%d calls ran in the evacuated domain", after-before)
	}
}

// Guards against a node that restarts beside an evacuated upstream and sends it calls.
func TestRestartedNodeKnowsTheEvacuation(t *testing.T) {
	t.Parallel()
	f := newEvacuableFleet(t)
	f.evacuate("b")
	f.awaitVersion()
	f.servers[1].Kill()
	f.fleet.Platform.SetFaults(kqfakestore.Faults{Down: true})
	s, err := f.fleet.Restart(f.servers[1])
	if err != nil {
		t.Fatal(err)
	}
	before := f.runs[1].Load()
	s.Upstream.OnRun(func(kqupstream.Run) { f.runs[1].Add(1) })
	f.servers[1] = s
	f.await("the restarted entry serves", func() bool { status, _ := f.call(s); return status == fasthttp.StatusOK })
	f.callAll()
	if after := f.runs[1].Load(); after != before {
		t.Errorf("%d calls ran in the evacuated domain", after-before)
	}
}

// Guards against calls that wait or are refused for an untrue reason once all domains are
// evacuated.
func TestAllDomainsEvacuated(t *testing.T) {
	t.Parallel()
	f := newEvacuableFleet(t)
	f.evacuate("a", "b", "c")
	f.awaitVersion()
	for _, s := range f.servers {
		began := time.Now()
		status, reason := f.call(s)
		if status != fasthttp.StatusServiceUnavailable || !strings.Contains(reason, "evacuated") {
			t.Errorf("%s answers %d %s, want 503 evacuated", s.Node.Name(), status, reason)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s refused after %v, want at once", s.Node.Name(), took)
		}
	}
}
