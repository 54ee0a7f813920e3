package kqentry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqallowance"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// fakeGate acts as another node's gate. It answers calls, aborts their connections if
	// aborts is set, and refuses them if full is set.
	fakeGate struct {
		*httptest.Server
		full, aborts atomic.Bool
		calls        atomic.Int64
		// refusesEveryOther makes the gate refuse every other call. It must be set
		// before the first call.
		refusesEveryOther bool
		// lastCall is the call header of the entry's last call.
		lastCall     atomic.Value
		upstreamEnds atomic.Bool
	}

	// fixedConfig provides the same snapshot for every host.
	fixedConfig struct{ snapshot *kqsnapshot.Snapshot }

	// fakeDirectory lists the same upstreams for every service.
	fakeDirectory []kqmember.Candidate

	// lateSplitter allows calls no upstream that is known until it has been asked after known,
	// like a node that does not know yet that a rollout to its upstreams' version is done.
	lateSplitter struct{ known time.Time }

	// noLocal is a node without a local upstream.
	noLocal struct{}
)

func (f fixedConfig) EnsureHost(context.Context, kqname.Host, time.Time) (*kqsnapshot.Snapshot, error) {
	return f.snapshot, nil
}

func (d fakeDirectory) Upstreams(kqname.Service) []kqmember.Candidate { return d }

func (s lateSplitter) Split(kqresource.Service, *kqcall.Call) kqpick.Criteria {
	if time.Now().Before(s.known) {
		return kqpick.Criteria{Version: "v0"}
	}
	return kqpick.Criteria{Version: "v1"}
}

func (noLocal) Do(*kqcall.Call) (kqcall.Outcome, kqcall.Load) {
	return kqcall.Refuse(kqcall.NoUpstream), kqcall.Load{}
}

// newFakeGate starts a gate that answers every call.
func newFakeGate(t *testing.T) *fakeGate {
	t.Helper()
	g := &fakeGate{}
	g.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls := g.calls.Add(1)
		if g.aborts.Load() {
			panic(http.ErrAbortHandler)
		}
		fields := r.Header.Get("Kq-Call")
		g.lastCall.Store(fields)
		var id string
		for i := range fields {
			if fields[i] == ';' {
				id = fields[:i]
				break
			}
		}
		w.Header().Set(kqcall.HeaderID, id)
		// The entry ignores this load, which has too few fields.
		w.Header().Set("Kq-Load", "2;0;6;100000")
		if g.refusesEveryOther && calls%2 == 0 || g.full.Load() {
			w.Header().Set(kqcall.HeaderResult, string(kqcall.NotRun))
			w.Header().Set(kqcall.HeaderReason, string(kqcall.QueueFull))
			w.Header().Set("Kq-Retry-Ms", "250")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if g.upstreamEnds.Load() {
			w.Header().Set(kqcall.HeaderResult, string(kqcall.Unknown))
			w.Header().Set(kqcall.HeaderReason, string(kqcall.UpstreamEnded))
			w.Header().Set("Kq-Start", strconv.FormatInt(calls, 36))
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		w.Header().Set(kqcall.HeaderResult, string(kqcall.Answered))
	}))
	t.Cleanup(g.Close)
	return g
}

// newCaller starts an entry that knows the gates. It returns a function that sends one call
// to the entry and returns the HTTP status of the response.
func newCaller(t *testing.T, gates ...*fakeGate) func() int {
	t.Helper()
	return newCallerWith(t, nil, gates...)
}

// newCallerWith is newCaller with further options of the entry.
func newCallerWith(t *testing.T, options []kqentry.Option, gates ...*fakeGate) func() int {
	t.Helper()
	root, objects, err := kqresource.Split(kqdocument.Document{
		Teams:    []kqdocument.Team{{Name: "t"}},
		Services: []kqdocument.Service{{Name: "store", Team: "t"}},
		Routes:   []kqdocument.Route{{Name: "r", Team: "t", Host: "store", PathPrefix: "/", Service: "store", Class: kqdocument.ClassBackground}},
	})
	if err != nil {
		t.Fatal(err)
	}
	root.Version = 1
	snapshot, _, err := kqsnapshot.Build(root, objects, []kqname.Host{"store"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	var all fakeDirectory
	for i, g := range gates {
		all = append(all, kqmember.Candidate{
			Upstream: kqmember.Upstream{Service: "store", Version: "v1", Slots: 6, WarmFrom: time.Unix(1, 0)},
			Node:     kqname.Node(fmt.Sprint("gate-", i)), Gate: kqname.Address(g.Listener.Addr().String()),
		})
	}
	bound := kqallowance.Bound{Ratio: 0.2, Slack: 50}
	e := kqentry.New("self", fixedConfig{snapshot}, all, noLocal{}, append(options, kqentry.WithRetryBound(bound, func() int { return 1 }))...)
	listener := fasthttputil.NewInmemoryListener()
	server := &fasthttp.Server{Handler: e.ServeOutside}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	client := &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return listener.Dial() }}}
	return func() int {
		resp, err := client.Get("http://store/x")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
}

// Guards against an entry that sheds calls for ten seconds while upstreams are half idle.
// Each of six gates refuses every other call, as gates do while calls are spread unevenly
// over servers that have just come back, and nearly every call is accepted by the second or
// third gate at the latest. The entry must not count such calls as refused.
func TestEntryDoesNotRefuseWhatAnotherGateTakes(t *testing.T) {
	var gates []*fakeGate
	for range 6 {
		g := newFakeGate(t)
		g.refusesEveryOther = true
		gates = append(gates, g)
	}
	call := newCaller(t, gates...)
	refused := 0
	for range 300 {
		if call() != http.StatusOK {
			refused++
		}
	}
	if refused > 30 {
		t.Errorf("%d of 300 calls were refused although another gate would have taken them", refused)
	}
}

// Guards against reporting "not run" for a call that may have run. The connection to the
// first gate breaks after the call was sent, and the second gate refuses the retry because
// it is full.
func TestNotRunIsTrueOfAllSendings(t *testing.T) {
	gates := []*fakeGate{newFakeGate(t), newFakeGate(t)}
	call := newCaller(t, gates...)
	gates[0].aborts.Store(true)
	gates[1].full.Store(true)
	aborted := false
	for range 20 {
		before := gates[0].calls.Load()
		status := call()
		if gates[0].calls.Load() == before {
			continue
		}
		aborted = true
		if status == http.StatusServiceUnavailable {
			t.Error("a call that may have run was answered 503")
		}
	}
	if !aborted {
		t.Error("no call was sent to the gate that aborts calls")
	}
}

// Guards against calls that a restarted node refuses although it knows upstreams, because it
// learns only some 50 ms later that the rollout to their version is done.
func TestCallIsHeldUntilItsRolloutIsKnown(t *testing.T) {
	call := newCallerWith(t, []kqentry.Option{kqentry.WithSplitter(lateSplitter{known: time.Now().Add(100 * time.Millisecond)})}, newFakeGate(t))
	if status := call(); status != http.StatusOK {
		t.Errorf("status %d, want 200 from the upstream of the rollout's version", status)
	}
}

// Guards against calls that wait in vain for a version that has no upstream, at a node that
// has long been up to date.
func TestCallOfAVersionWithoutUpstreamIsRefusedSoon(t *testing.T) {
	call := newCallerWith(t, []kqentry.Option{kqentry.WithSplitter(lateSplitter{known: time.Now().Add(time.Hour)})}, newFakeGate(t))
	began := time.Now()
	if status := call(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("refused after %v, want within the time that a starting node may hold a call", took)
	}
}
