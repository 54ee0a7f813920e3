package kqnode_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// keyedFleet is a fleet of three servers whose callers need API keys of the workspace "acme".
// Only the upstream of the first one gets calls.
type keyedFleet struct {
	t       *testing.T
	fleet   *kqfleet.Fleet
	commits *kqcommit.Committer
	version kqname.ConfigVersion
	servers []*kqfleet.Server
	runs    atomic.Int64
}

func newKeyedFleet(t *testing.T, work time.Duration, keys ...string) *keyedFleet {
	t.Helper()
	return startKeyedFleet(t, kqfleet.New(kqfleet.WithSettings(adjustForKeys)), work, keys...)
}

func adjustForKeys(s *kqsettings.Settings) {
	s.Member.Heartbeat, s.Config.StartSpread = 100*time.Millisecond, 50*time.Millisecond
}

// startKeyedFleet starts the servers of the given fleet.
func startKeyedFleet(t *testing.T, fleet *kqfleet.Fleet, work time.Duration, keys ...string) *keyedFleet {
	t.Helper()
	f := &keyedFleet{t: t, fleet: fleet}
	f.commits = kqcommit.New(f.fleet.Platform)
	f.setKeys(keys...)
	for i := range 3 {
		spec := kqfleet.Spec{Node: kqname.Node(fmt.Sprint("node-", i)), Domain: "a", Region: "north", Admin: i == 1}
		if i == 0 {
			spec.Service, spec.Version, spec.Slots, spec.Behaviour = "store", "v1", 1, kqupstream.Behaviour{Work: work}
		}
		s, err := f.fleet.Start(spec)
		if err != nil {
			t.Fatal(err)
		}
		f.servers = append(f.servers, s)
	}
	f.servers[0].Upstream.OnRun(func(kqupstream.Run) { f.runs.Add(1) })
	t.Cleanup(func() { _ = f.fleet.Close() })
	await(t, "every entry serves calls and knows both peers", func() bool {
		for _, s := range f.servers {
			if status, _ := f.call(s, keys[0]); status != fasthttp.StatusOK || len(s.Node.Members()) != 3 {
				return false
			}
		}
		return true
	})
	return f
}

func digestOfKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// setKeys commits a document in which just these keys are valid.
func (f *keyedFleet) setKeys(keys ...string) {
	f.t.Helper()
	w := kqdocument.Workspace{Name: "acme"}
	for _, k := range keys {
		w.KeyDigests = append(w.KeyDigests, digestOfKey(k))
	}
	o, err := f.commits.Commit(f.t.Context(), kqcommit.Request{
		ID: fmt.Sprintf("keys-%d", f.version), Base: f.version, Author: "ana", Reason: "test", At: time.Unix(1, 0),
		Document: kqdocument.Document{
			Teams: []kqdocument.Team{{Name: "t"}}, Services: []kqdocument.Service{{Name: "store", Team: "t", Version: "v1"}},
			Routes:     []kqdocument.Route{{Name: "r", Team: "t", Host: "store", PathPrefix: "/", Service: "store"}},
			Workspaces: []kqdocument.Workspace{w},
		},
	})
	if err != nil || o.Status != kqcommit.Committed {
		f.t.Fatalf("commit ended as %+v, %v", o, err)
	}
	f.version = o.Version
}

// call calls the service by a server's entry and returns the status and the reason of a
// refusal.
func (f *keyedFleet) call(s *kqfleet.Server, key string) (int, string) {
	f.t.Helper()
	var request fasthttp.Request
	var response fasthttp.Response
	request.SetRequestURI("http://" + string(s.Node.EntryAddress()) + "/")
	request.Header.SetHost("store")
	request.UseHostHeader = true
	request.Header.Set("Authorization", "Bearer "+key)
	if err := fasthttp.DoTimeout(&request, &response, 5*time.Second); err != nil {
		f.t.Error(err)
	}
	return response.StatusCode(), string(response.Header.Peek("Kq-Reason"))
}

// inquiries returns how often a node has asked its peers because of unknown keys.
func inquiries(t *testing.T, n *kqnode.Node) float64 {
	t.Helper()
	families, err := n.Metrics().Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == "kumquatgw_unknown_key_inquiries_total" {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// Guards against a caller that uses a new key moments after it was added, and is told that the
// key is unknown by a node that the version has not reached, although a peer has it.
func TestAddedKeyIsNotUnknownOnceAPeerKnowsIt(t *testing.T) {
	f := newKeyedFleet(t, time.Millisecond, "first")
	keys, answered := []string{"first"}, 0
	for i := range 12 {
		keys = append(keys, fmt.Sprint("key-", i))
		f.setKeys(keys...)
		for known := false; !known; time.Sleep(time.Millisecond) {
			for _, s := range f.servers {
				known = known || s.Node.Version() >= f.version
			}
		}
		for _, s := range f.servers {
			status, reason := f.call(s, keys[len(keys)-1])
			if status == fasthttp.StatusUnauthorized {
				t.Errorf("key %d at %s: 401 %s", i, s.Node.Name(), reason)
			}
			if status == fasthttp.StatusOK {
				answered++
			}
		}
	}
	if answered < 30 {
		t.Errorf("%d of 36 calls with a new key were answered", answered)
	}
}

// Guards against a flood of made-up keys that costs a message a call, and against a node that
// refuses a key as unknown while it cannot tell whether its version is the newest.
func TestMadeUpKeys(t *testing.T) {
	f := newKeyedFleet(t, time.Millisecond, "first")
	s, before, began := f.servers[1], inquiries(t, f.servers[1].Node), time.Now()
	var calls, refused atomic.Int64
	var group conc.WaitGroup
	for i := range 40 {
		group.Go(func() {
			for j := 0; time.Since(began) < 2*time.Second; j++ {
				status, _ := f.call(s, fmt.Sprintf("made-up-%d-%d", i, j))
				calls.Add(1)
				if status == fasthttp.StatusUnauthorized {
					refused.Add(1)
				}
			}
		})
	}
	group.Wait()
	if asked, most := inquiries(t, s.Node)-before, 4*time.Since(began).Seconds()+1; asked > most || asked < 2 {
		t.Errorf("%g inquiries for %d calls, want at most %g and at least 2", asked, calls.Load(), most)
	}
	if refused.Load() < calls.Load()*9/10 {
		t.Errorf("%d of %d calls got 401", refused.Load(), calls.Load())
	}
	f.servers[0].Kill()
	f.servers[2].Kill()
	for range 3 {
		if status, reason := f.call(s, "made-up"); status != fasthttp.StatusServiceUnavailable || reason != "unverified_key" {
			t.Errorf("an isolated node answers %d %s, want 503 unverified_key", status, reason)
		}
	}
}

// Guards against calls that wait in a queue while their key is removed, and run afterwards.
func TestKeyRemovedWhileCallsWait(t *testing.T) {
	f := newKeyedFleet(t, 1500*time.Millisecond, "first", "second")
	before := f.runs.Load()
	var mu sync.Mutex
	reasons := make(map[string]int)
	var group conc.WaitGroup
	for i := range 3 {
		group.Go(func() {
			status, reason := f.call(f.servers[i], "second")
			mu.Lock()
			defer mu.Unlock()
			reasons[fmt.Sprint(status, " ", reason)]++
		})
	}
	await(t, "one call runs", func() bool { return f.runs.Load() > before })
	time.Sleep(200 * time.Millisecond)
	f.setKeys("first")
	group.Wait()
	if ran := f.runs.Load() - before; ran != 1 || reasons["401 key_revoked"] != 2 {
		t.Errorf("%d calls ran, and they ended as %v, want one run and two revoked", ran, reasons)
	}
}
