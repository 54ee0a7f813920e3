package kqopenloop_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqopenloop"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// An upstream stalls once for a while. A generator that waits for each answer
// before it sends the next call meets the stall with one call only, and reports
// a system in which hardly anybody waited; on a schedule every caller of that
// while has waited, and the samples say so.
func TestLatencyCountsFromTheSchedule(t *testing.T) {
	const stall = 300 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The stall begins with the first call, so that it cannot end before the generator's
	// own clock says so, however late that starts.
	until := sync.OnceValue(func() time.Time { return time.Now().Add(stall) })
	s := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) { time.Sleep(time.Until(until())) }}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	g := kqopenloop.New(kqname.Address(l.Addr().String()))
	samples := g.Run(t.Context(), 1, []*kqopenloop.Stream{
		{Caller: "127.0.0.1", Host: "a", Path: "/", Phases: []kqopenloop.Phase{{For: stall, Rate: 200}}},
	})
	for _, c := range samples {
		if c.At+c.Took < stall {
			t.Errorf("a call scheduled at %v was answered after %v, before the stall's end", c.At, c.Took)
		}
	}
	if len(samples) < 30 {
		t.Errorf("%d calls were sent, want the schedule's 60 or so", len(samples))
	}
	g.Close()
	if err := s.Shutdown(); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
