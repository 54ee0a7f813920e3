package kqentry_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/call/kqnesting"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// patient is a dialect whose callers tell how long they wait, and for which call.
type patient struct{}

const waitsFor = 3 * time.Second

func (patient) Accept(h *fasthttp.RequestHeader) kqcall.Told {
	return kqcall.Told{ID: kqcall.ID(h.Peek("Id")), Left: waitsFor, Above: kqcall.ID(h.Peek("Above"))}
}
func (patient) Tell(*kqcall.Call, time.Duration)  {}
func (patient) Belongs(*kqcall.Call) bool         { return true }
func (patient) Judge(*kqcall.Call) kqcall.Verdict { return kqcall.Verdict{} }
func (patient) RetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// patientEntry returns what sends a call to an entry of patient callers before the gate,
// for a route with a target of 400 ms.
func patientEntry(t *testing.T, g *gate, nesting *kqnesting.Calls) func(headers ...string) *http.Response {
	t.Helper()
	root, objects, err := kqresource.Split(kqdocument.Document{
		Teams:    []kqdocument.Team{{Name: "t"}},
		Services: []kqdocument.Service{{Name: "store", Team: "t"}},
		Routes:   []kqdocument.Route{{Name: "r", Team: "t", Host: "store", PathPrefix: "/", Service: "store", TargetMS: 400}},
	})
	if err != nil {
		t.Fatal(err)
	}
	root.Version = 1
	snapshot, _, err := kqsnapshot.Build(root, objects, []kqname.Host{"store"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	all := directory{{
		Upstream: kqmember.Upstream{Service: "store", Version: "v1", Slots: 6, Warm: time.Unix(1, 0)},
		Node:     "gate", Gate: kqname.Address(g.Listener.Addr().String()),
	}}
	e := kqentry.New("self", fixed{snapshot}, all, nowhere{}, kqentry.WithDialect(patient{}), kqentry.WithNesting(nesting))
	listener := fasthttputil.NewInmemoryListener()
	go func() { _ = (&fasthttp.Server{Handler: e.ServeOutside}).Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	client := &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return listener.Dial() }}}
	return func(headers ...string) *http.Response {
		t.Helper()
		q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://store/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, h := range headers {
			name, value, _ := strings.Cut(h, ": ")
			q.Header.Set(name, value)
		}
		a, err := client.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		_ = a.Body.Close()
		return a
	}
}

// fields returns what the entry told the gate of its last call.
func (g *gate) fields() []string { return strings.Split(g.told.Load().(string), ";") }

// A caller is refused and comes back after 300 ms of the 400 in which it wants its answer.
// Told to the gate as a new call with all of them left, it is queued before callers who can
// still be in time. And what it is told of when to come back must reach beyond a burst.
func TestCallerWhoComesBackHasItsFirstTarget(t *testing.T) {
	g := newGate(t)
	call := patientEntry(t, g, kqnesting.New())
	g.full.Store(true)
	call("Id: a")
	time.Sleep(300 * time.Millisecond)
	a := call("Id: b")
	left, err := strconv.Atoi(g.fields()[11])
	if err != nil || left > 110000 {
		t.Errorf("the gate was told of %d us until the target, %v; want 100 ms at most", left, err)
	}
	after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if err != nil || after < 0.9*waitsFor.Seconds()/3 {
		t.Errorf("Retry-After %v, %v: want a third of what the caller waits", after, err)
	}
	g.full.Store(false)
	call("Id: c")
	call("Id: d")
	if left, err := strconv.Atoi(g.fields()[11]); err != nil || left < 390000 {
		t.Errorf("a new call was told with %d us until its target, %v", left, err)
	}
}

// An upstream calls others while it works on a call. Named after a call that runs beside
// this node, its call must go to the gate as a nested one; a caller from outside that makes
// such a name up must not.
func TestOnlyCallsOfRunningCallsAreNested(t *testing.T) {
	g := newGate(t)
	nesting := kqnesting.New()
	call := patientEntry(t, g, nesting)
	nesting.Begin(&kqcall.Call{ID: "run", Caller: "10.9.9.9", Depth: 2})
	for above, want := range map[string]string{"run": "3 10.9.9.9", "made-up": "0 "} {
		call("Id: x", "Above: "+above)
		got := g.fields()
		if depth := got[10] + " " + got[1]; !strings.HasPrefix(depth, want) {
			t.Errorf("above %q: the gate was told of depth and caller %q, want %q", above, depth, want)
		}
	}
}
