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

// timeoutDialect is a dialect whose callers wait for callerTimeout and name the running call
// that theirs is nested in.
type timeoutDialect struct{}

const callerTimeout = 3 * time.Second

func (timeoutDialect) Accept(h *fasthttp.RequestHeader) kqcall.CallInfo {
	return kqcall.CallInfo{ID: kqcall.ID(h.Peek("Id")), TimeLeft: callerTimeout, ParentID: kqcall.ID(h.Peek("Above"))}
}
func (timeoutDialect) WriteUpstreamHeaders(*kqcall.Call, time.Duration)            {}
func (timeoutDialect) IsAnswer(*kqcall.Call) bool                                  { return true }
func (timeoutDialect) ReadVerdict(*kqcall.Call) kqcall.Verdict                     { return kqcall.Verdict{} }
func (timeoutDialect) ReadCondition(*fasthttp.ResponseHeader) (c kqcall.Condition) { return c }
func (timeoutDialect) ReadHealth(*fasthttp.ResponseHeader) kqcall.Health           { return kqcall.Health{} }
func (timeoutDialect) Key(*fasthttp.RequestHeader) []byte                          { return nil }
func (timeoutDialect) StripKey(*fasthttp.RequestHeader)                            {}
func (timeoutDialect) ReadReport(*fasthttp.ResponseHeader) (r kqcall.ServerReport) { return r }

func (timeoutDialect) RetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// newCallerWithTimeout starts an entry with timeoutDialect that knows one gate, for a route
// with a target of 400 ms. It returns a function that sends one call with the given
// headers.
func newCallerWithTimeout(t *testing.T, g *fakeGate, nesting *kqnesting.Calls, options ...kqentry.Option) func(headers ...string) *http.Response {
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
	all := fakeDirectory{{
		Upstream: kqmember.Upstream{Service: "store", Version: "v1", Slots: 6, WarmFrom: time.Unix(1, 0)},
		Node:     "gate", Gate: kqname.Address(g.Listener.Addr().String()),
	}}
	e := kqentry.New("self", fixedConfig{snapshot}, all, noLocal{}, append(options, kqentry.WithDialect(timeoutDialect{}), kqentry.WithNesting(nesting))...)
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

// fields returns the fields of the entry's last call to the gate.
func (g *fakeGate) fields() []string { return strings.Split(g.lastCall.Load().(string), ";") }

// Guards against counting the target of a retried call from the retry. A call that is
// refused and retried after 300 ms of its 400 ms target would have 400 ms again, and be
// queued before calls that can still meet theirs. Its Retry-After must also be long enough
// for a burst to pass.
func TestRetryingCallerKeepsItsFirstTarget(t *testing.T) {
	g := newFakeGate(t)
	call := newCallerWithTimeout(t, g, kqnesting.New())
	g.full.Store(true)
	// Calls are matched by caller and request, not by Id: b and c are retries of a. As c
	// is answered, d is a new call.
	call("Id: a")
	time.Sleep(300 * time.Millisecond)
	a := call("Id: b")
	// Field 11 is the time until the target in microseconds.
	left, err := strconv.Atoi(g.fields()[11])
	if err != nil || left > 110000 {
		t.Errorf("the gate got %d us until the target, error %v; want 100 ms at most", left, err)
	}
	after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if err != nil || after < 0.9*callerTimeout.Seconds()/3 {
		t.Errorf("Retry-After is %v, error %v; want a third of the time that the caller waits", after, err)
	}
	g.full.Store(false)
	call("Id: c")
	call("Id: d")
	if left, err := strconv.Atoi(g.fields()[11]); err != nil || left < 390000 {
		t.Errorf("the gate got %d us until a new call's target, error %v; want nearly 400 ms", left, err)
	}
}

// Guards against treating a call from outside as nested, which would put it ahead of others
// in the queue. A call whose parent is running at this node's upstream must reach the gate
// as nested; a parent that is not running must be ignored.
func TestCallIsNestedOnlyUnderARunningCall(t *testing.T) {
	g := newFakeGate(t)
	nesting := kqnesting.New()
	call := newCallerWithTimeout(t, g, nesting)
	nesting.Begin(&kqcall.Call{ID: "run", Caller: "10.9.9.9", Depth: 2})
	for parent, want := range map[string]string{"run": "3 10.9.9.9", "made-up": "0 "} {
		call("Id: x", "Above: "+parent)
		got := g.fields()
		// Field 10 is the depth and field 1 the caller.
		if depth := got[10] + " " + got[1]; !strings.HasPrefix(depth, want) {
			t.Errorf("parent %q: the gate got depth and caller %q, want %q", parent, depth, want)
		}
	}
}
