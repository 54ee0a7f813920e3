package kqentry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
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
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// gate plays another node's gate: full, cutting, or answering.
	gate struct {
		*httptest.Server
		full, cuts atomic.Bool
		asked      atomic.Int64
		// everyOther refuses every other call; it is set before the first.
		everyOther bool
		// told is what the entry told of its last call.
		told atomic.Value
	}

	fixed struct{ snapshot *kqsnapshot.Snapshot }

	directory []kqmember.Candidate

	nowhere struct{}
)

func (f fixed) Want(context.Context, kqname.Host, time.Time) (*kqsnapshot.Snapshot, error) {
	return f.snapshot, nil
}

func (d directory) Upstreams(kqname.Service) []kqmember.Candidate { return d }

func (nowhere) Do(*kqcall.Call) (kqcall.Outcome, kqcall.Load) {
	return kqcall.Refuse(kqcall.NoUpstream), kqcall.Load{}
}

func newGate(t *testing.T) *gate {
	t.Helper()
	g := &gate{}
	g.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked := g.asked.Add(1)
		if g.cuts.Load() {
			panic(http.ErrAbortHandler)
		}
		fields := r.Header.Get("Kq-Call")
		g.told.Store(fields)
		var id string
		for i := range fields {
			if fields[i] == ';' {
				id = fields[:i]
				break
			}
		}
		w.Header().Set(kqcall.HeaderID, id)
		w.Header().Set("Kq-Load", "2;0;6;100000")
		if g.everyOther && asked%2 == 0 || g.full.Load() {
			w.Header().Set(kqcall.HeaderResult, string(kqcall.NotRun))
			w.Header().Set(kqcall.HeaderReason, string(kqcall.QueueFull))
			w.Header().Set("Kq-Retry-Ms", "250")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(kqcall.HeaderResult, string(kqcall.Answered))
	}))
	t.Cleanup(g.Close)
	return g
}

// callers returns what sends one call to an entry before the gates and returns
// the status that its caller gets.
func callers(t *testing.T, gates ...*gate) func() int {
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
	var all directory
	for i, g := range gates {
		all = append(all, kqmember.Candidate{
			Upstream: kqmember.Upstream{Service: "store", Version: "v1", Slots: 6, Warm: time.Unix(1, 0)},
			Node:     kqname.Node(fmt.Sprint("gate-", i)), Gate: kqname.Address(g.Listener.Addr().String()),
		})
	}
	bound := kqallowance.Bound{Ratio: 0.2, Slack: 50}
	e := kqentry.New("self", fixed{snapshot}, all, nowhere{}, kqentry.WithBound(bound, func() int { return 1 }))
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

// Each of six gates refuses every other call that it is asked for, as after a herd
// of servers has returned unevenly, and nearly every call is taken by the second
// or third gate. The entry must not count such calls as refused and go on refusing
// on its own: callers would be turned away for ten seconds while upstreams stand
// half idle.
func TestEntryDoesNotRefuseWhatAnotherGateTakes(t *testing.T) {
	var gates []*gate
	for range 6 {
		g := newGate(t)
		g.everyOther = true
		gates = append(gates, g)
	}
	call := callers(t, gates...)
	refused := 0
	for range 300 {
		if call() != http.StatusOK {
			refused++
		}
	}
	if refused > 30 {
		t.Errorf("%d of 300 calls were refused although a gate had room", refused)
	}
}

// The connection to the first gate breaks after the call was sent, and the second
// gate has no room. The caller must not be told that the call has not run: the
// first upstream may have run it.
func TestNotRunIsTrueOfAllSendings(t *testing.T) {
	gates := []*gate{newGate(t), newGate(t)}
	call := callers(t, gates...)
	gates[0].cuts.Store(true)
	gates[1].full.Store(true)
	met := false
	for range 20 {
		before := gates[0].asked.Load()
		status := call()
		if gates[0].asked.Load() == before {
			continue
		}
		met = true
		if status == http.StatusServiceUnavailable {
			t.Error("a call that may have run was answered 503")
		}
	}
	if !met {
		t.Error("no call met the gate that breaks off")
	}
}
