package kqentry_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	testTimeout = 20 * time.Second
	callerCount = 8
)

// testFleet is a fleet of one entry that keeps running and of servers that a test may stop.
// A call of the tests is an order, and results holds the outcome that each order's caller
// got.
type testFleet struct {
	*kqfleet.Fleet
	front   *kqfleet.Server
	servers []*kqfleet.Server
	client  *fasthttp.HostClient
	mu      sync.Mutex
	results map[string]kqcall.Outcome
}

// newTestFleet starts the entry and the given number of servers. Each has an upstream with
// the given number of slots, which takes the duration work for each call.
func newTestFleet(t testing.TB, servers, slots int, work time.Duration) *testFleet {
	t.Helper()
	s := &testFleet{Fleet: kqfleet.New(), results: make(map[string]kqcall.Outcome)}
	t.Cleanup(func() { _ = s.Close() })
	s.front = s.start(t, kqfleet.Spec{Node: "front", Domain: "one", Region: "one"})
	for i := range servers {
		s.servers = append(s.servers, s.start(t, kqfleet.Spec{
			Node: kqname.Node(fmt.Sprintf("back-%d", i)), Domain: "one", Region: "one", Service: "store", Version: "v1",
			Slots: slots, Behaviour: kqupstream.Behaviour{Work: work},
		}))
	}
	_, err := kqcommit.New(s.Platform).Commit(t.Context(), kqcommit.Request{
		ID: "first", Author: "test", Reason: "test", At: time.Now(),
		Document: kqdocument.Document{
			Teams:    []kqdocument.Team{{Name: "shop"}},
			Services: []kqdocument.Service{{Name: "store", Team: "shop"}},
			Routes:   []kqdocument.Route{{Name: "store", Team: "shop", Host: "store", PathPrefix: "/", Service: "store", TimeoutMS: 5000}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.client = &fasthttp.HostClient{Addr: string(s.front.Node.EntryAddress()), MaxConns: 100, MaxIdemponentCallAttempts: 1}
	poll(t, "the entry knows every upstream", func() bool {
		known := 0
		for _, m := range s.front.Node.Members() {
			known += len(m.Upstreams)
		}
		o, err := s.send(fasthttp.MethodGet, "warm")
		return known == servers && err == nil && (o.Result == kqcall.Answered || servers == 0 && o.Reason == kqcall.NoUpstream)
	})
	return s
}

func (s *testFleet) start(t testing.TB, spec kqfleet.Spec) *kqfleet.Server {
	t.Helper()
	server, err := s.Start(spec)
	if err != nil {
		t.Fatal(err)
	}
	return server
}

// send sends one order with the given work id and returns the outcome that its caller got.
func (s *testFleet) send(method, work string) (kqcall.Outcome, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://store/orders")
	request.Header.SetMethod(method)
	request.Header.Set(kqupstream.HeaderWorkID, work)
	if err := s.client.DoTimeout(request, response, testTimeout); err != nil {
		return kqcall.Outcome{}, err
	}
	o := kqcall.Outcome{
		Result: kqcall.Result(response.Header.Peek(kqcall.HeaderResult)),
		Reason: kqcall.Reason(response.Header.Peek(kqcall.HeaderReason)),
	}
	if o.Result == kqcall.Answered && string(response.Header.Peek(kqupstream.HeaderWorkID)) != work {
		return o, fmt.Errorf("order %s got the answer of %s (reported with an unrelated error: %w)", work, response.Header.Peek(kqupstream.HeaderWorkID), kqcall.ErrMalformed)
	}
	return o, nil
}

// sendDuring sends orders from several callers while disturb runs.
func (s *testFleet) sendDuring(t *testing.T, disturb func()) {
	t.Helper()
	stop := make(chan struct{})
	var group conc.WaitGroup
	for i := range callerCount {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				work := fmt.Sprintf("order-%d-%d", i, n)
				o, err := s.send(fasthttp.MethodPost, work)
				if err != nil {
					t.Errorf("%s: %v", work, err)
				}
				s.mu.Lock()
				s.results[work] = o
				s.mu.Unlock()
			}
		})
	}
	disturb()
	close(stop)
	group.Wait()
}

// runs returns how often each order ran at any upstream.
func (s *testFleet) runs() map[string]int {
	all := make(map[string]int)
	for _, b := range s.servers {
		for work, n := range b.Upstream.Runs() {
			all[work] += n
		}
	}
	return all
}

// waitForOrders waits until n more orders have ended.
func (s *testFleet) waitForOrders(t *testing.T, n int) {
	t.Helper()
	count := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.results)
	}
	until := count() + n
	poll(t, "more orders have ended", func() bool { return count() >= until })
}

// waitUntilAnswered waits until n orders in a row are answered.
func (s *testFleet) waitUntilAnswered(t *testing.T, n int) {
	t.Helper()
	try := 0
	poll(t, fmt.Sprintf("%d orders in a row are answered", n), func() bool {
		try++
		for i := range n {
			work := fmt.Sprintf("again-%d-%d", try, i)
			o, err := s.send(fasthttp.MethodPost, work)
			s.mu.Lock()
			s.results[work] = o
			s.mu.Unlock()
			if err != nil || o != kqcall.OK() {
				return false
			}
		}
		return true
	})
}

// check compares the outcomes that callers got with what ran, and returns how many
// orders ended with each outcome.
func (s *testFleet) check(t *testing.T) map[kqcall.Outcome]int {
	t.Helper()
	runs, outcomes := s.runs(), make(map[kqcall.Outcome]int)
	for work, o := range s.results {
		outcomes[o]++
		n := runs[work]
		switch {
		case n > 1:
			t.Errorf("%s ran %d times", work, n)
		case o.Result == kqcall.NotRun && n != 0:
			t.Errorf("%s was reported as %v but ran", work, o)
		case o.Result == kqcall.Answered && n != 1:
			t.Errorf("%s was answered but ran %d times", work, n)
		}
	}
	return outcomes
}

// Guards against running an order twice or reporting its outcome wrongly when servers die
// under load, two of them at the same moment, with orders in flight. An order would run
// twice if the entry retried it although it may have run, or if its caller did so after a
// wrong "not run". Once the deaths are known, every order must be answered.
func TestOrdersRunAtMostOnceWhenServersDie(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 4, 4, 3*time.Millisecond)
	s.sendDuring(t, func() {
		s.waitForOrders(t, 100)
		var kills conc.WaitGroup
		kills.Go(s.servers[0].Kill)
		kills.Go(s.servers[1].Kill)
		kills.Wait()
		s.waitForOrders(t, 100)
		s.servers[2].Kill()
		s.waitForOrders(t, 200)
		s.waitUntilAnswered(t, 100)
	})
	t.Logf("outcomes of the orders: %v", s.check(t))
}

// Guards against losing orders while a server is taken out of service: its upstream
// drains, then its node stops. The other servers can take all orders, so every order must
// be answered, and none may run twice.
func TestGracefulLeaveCutsNothing(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 3, 4, 3*time.Millisecond)
	s.sendDuring(t, func() {
		s.waitForOrders(t, 100)
		s.servers[0].Stop()
		s.waitForOrders(t, 100)
		s.servers[1].Stop()
		s.waitForOrders(t, 100)
	})
	for o, n := range s.check(t) {
		if o != kqcall.OK() {
			t.Errorf("%d orders ended as %v, want all answered", n, o)
		}
	}
}

// Guards against new work for an upstream that announces that it drains and keeps running:
// with new work it could never finish. Its own gate must refuse orders of all nodes at
// once, and every order must be answered elsewhere.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 2, 4, 3*time.Millisecond)
	s.sendDuring(t, func() {
		s.waitForOrders(t, 100)
		s.servers[0].Upstream.Drain()
		// After these orders, every order that its gate admitted before it drained has
		// started. No other order may start there.
		s.waitForOrders(t, 2*callerCount)
		before := len(s.servers[0].Upstream.Runs())
		s.waitForOrders(t, 200)
		if after := len(s.servers[0].Upstream.Runs()); after != before {
			t.Errorf("the draining upstream ran %d more orders", after-before)
		}
	})
	for o, n := range s.check(t) {
		if o != kqcall.OK() {
			t.Errorf("%d orders ended as %v, want all answered", n, o)
		}
	}
}

// poll waits until done reports true, and fails the test after testTimeout.
func poll(t testing.TB, what string, done func() bool) {
	t.Helper()
	for range int(testTimeout / (10 * time.Millisecond)) {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", what)
}
