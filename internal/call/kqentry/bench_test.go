package kqentry_test

import (
	"testing"

	"github.com/valyala/fasthttp"
)

// BenchmarkOneHop measures a call through one node to the upstream on its server, with
// the caller, the node and the upstream in one process.
func BenchmarkOneHop(b *testing.B) {
	s := newTestFleet(b, 1, 64, 0)
	client := &fasthttp.HostClient{Addr: string(s.servers[0].Node.EntryAddress()), MaxConns: 100}
	poll(b, "the node has its configuration", func() bool {
		status, _, err := client.Get(nil, "http://store/orders")
		return err == nil && status == fasthttp.StatusOK
	})
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://store/orders")
		for p.Next() {
			if err := client.Do(request, response); err != nil || response.StatusCode() != fasthttp.StatusOK {
				b.Errorf("call ended with status %d, error %v", response.StatusCode(), err)
			}
		}
	})
}
