package kqentry_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// limitedService is an upstream that names a limit, and its gate, which can start anew.
type limitedService struct {
	gate atomic.Pointer[kqgate.Gate]
	// listener is where the gate takes calls from other nodes.
	listener net.Listener

	mu       sync.Mutex
	arrivals []time.Time
}

func newLimitedService(t *testing.T, limit string) *limitedService {
	t.Helper()
	s := &limitedService{}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		s.arrivals = append(s.arrivals, time.Now())
		s.mu.Unlock()
		w.Header().Set(kqcall.HeaderLimit, limit)
	}))
	t.Cleanup(upstream.Close)
	local := kqlocal.New(time.Hour, func([]kqmember.Upstream) {})
	a := kqlocal.Announcement{Service: "store", Version: "v1", Address: kqname.Address(upstream.Listener.Addr().String()), Slots: 6, Instance: "i-1", StartedMS: 1}
	if err := local.Announce(a, time.Now()); err != nil {
		t.Fatal(err)
	}
	restart := func() { s.gate.Store(kqgate.New(local)) }
	restart()
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { s.gate.Load().Serve(ctx) }}
	go func() { _ = server.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.listener.Close() })
	timer := time.AfterFunc(5*time.Second, restart)
	t.Cleanup(func() { timer.Stop() })
	return s
}

// newEntries starts entries that send calls to the service, and returns clients of each.
func (s *limitedService) newEntries(t *testing.T, count int) []*fasthttp.HostClient {
	t.Helper()
	root, objects, err := kqresource.Split(kqdocument.Document{
		Teams:    []kqdocument.Team{{Name: "t"}},
		Services: []kqdocument.Service{{Name: "store", Team: "t"}},
		Routes:   []kqdocument.Route{{Name: "r", Team: "t", Host: "store", PathPrefix: "/", Service: "store"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	root.Version = 1
	snapshot, _, err := kqsnapshot.Build(root, objects, []kqname.Host{"store"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	all := fakeDirectory{{Upstream: kqmember.Upstream{Service: "store", Version: "v1", Slots: 6}, Node: "gate", Gate: kqname.Address(s.listener.Addr().String())}}
	var clients []*fasthttp.HostClient
	for i := range count {
		e := kqentry.New(kqname.Node(fmt.Sprint("entry-", i)), fixedConfig{snapshot}, all, noLocal{})
		l := fasthttputil.NewInmemoryListener()
		go func() { _ = (&fasthttp.Server{Handler: e.ServeOutside}).Serve(l) }()
		t.Cleanup(func() { _ = l.Close() })
		clients = append(clients, &fasthttp.HostClient{Addr: "store", Dial: func(string) (net.Conn, error) { return l.Dial() }})
	}
	return clients
}

// Guards against an upstream that gets its limit from each of hundreds of nodes, also after
// its gate's process has started anew.
func TestHundredsOfNodesKeepToOneLimit(t *testing.T) {
	const (
		entries  = 300
		duration = 10 * time.Second
		pause    = 500 * time.Millisecond
		window   = 4 * time.Second
		// allowed is what an upstream that takes 2 calls a second gets in a window.
		allowed = 17
	)
	s := newLimitedService(t, "2")
	var group conc.WaitGroup
	var answered, refused atomic.Int64
	end := time.Now().Add(duration)
	for i, client := range s.newEntries(t, entries) {
		group.Go(func() {
			time.Sleep(pause * time.Duration(i) / entries)
			for time.Now().Before(end) {
				status, _, err := client.GetTimeout(nil, "http://store/x", duration)
				switch {
				case err != nil:
					t.Errorf("entry %d: %v", i, err)
				case status == http.StatusOK:
					answered.Add(1)
				case status == http.StatusServiceUnavailable:
					refused.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) >= window {
			first++
		}
		if i-first+1 > allowed {
			t.Fatalf("%d calls in %v, want at most %d", i-first+1, window, allowed)
		}
	}
	if n := answered.Load(); n < int64(duration.Seconds()) || refused.Load() < n {
		t.Errorf("%d calls were answered and %d refused, want about 2 a second answered and the rest refused", n, refused.Load())
	}
	t.Logf("%d calls answered, %d refused", answered.Load(), refused.Load())
}
