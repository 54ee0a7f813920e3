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

// An upstream stalls for 300 ms. A generator that waits for each answer before it
// sends the next call would record the stall for one call only. Latencies start at the
// scheduled time, so that of every call scheduled during the stall must include the rest
// of the stall.
func TestLatencyCountsFromTheSchedule(t *testing.T) {
	const stall = 300 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The stall starts with the first call. If it started before the generator, it would
	// end less than 300 ms after the generator's start, which the check below assumes.
	until := sync.OnceValue(func() time.Time { return time.Now().Add(stall) })
	s := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) { time.Sleep(time.Until(until())) }}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	g := kqopenloop.New(kqname.Address(l.Addr().String()))
	samples := g.Run(t.Context(), 1, []*kqopenloop.Stream{
		{Caller: "127.0.0.1", Host: "a", Path: "/", Phases: []kqopenloop.Phase{{Length: stall, Rate: 200}}},
	})
	for _, c := range samples {
		if c.ScheduledAt+c.Latency < stall {
			t.Errorf("a call scheduled at %v has a latency of %v, so it ended before the stall did", c.ScheduledAt, c.Latency)
		}
	}
	if len(samples) < 30 {
		t.Errorf("%d calls were sent, want at least 30 of the about 60 scheduled", len(samples))
	}
	g.Close()
	if err := s.Shutdown(); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
