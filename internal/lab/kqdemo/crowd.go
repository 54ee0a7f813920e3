package kqdemo

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	callTimeout = 5 * time.Second
	connections = 512
)

type (
	// crowd knows which nodes callers connect to. It is safe for concurrent use.
	crowd struct {
		mu   sync.RWMutex
		list []*entry
	}

	// entry is one node as its callers see it: from outside and, for the
	// upstream on its server, from inside.
	entry struct {
		server          *kqfleet.Server
		outside, inside *fasthttp.HostClient
		// killed is set before the server is killed, and leaving before it is
		// stopped.
		killed, leaving atomic.Bool
	}
)

func newCrowd() *crowd { return &crowd{} }

// open lets callers connect to a server.
func (c *crowd) open(s *kqfleet.Server) *entry {
	e := &entry{server: s, outside: client(s.Node.EntryAddress()), inside: client(s.Node.LocalAddress())}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, e)
	return e
}

// shut takes a server out of the callers' choice.
func (c *crowd) shut(e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make([]*entry, 0, len(c.list))
	for _, other := range c.list {
		if other != e {
			kept = append(kept, other)
		}
	}
	c.list = kept
}

// entries returns the nodes to choose from. The list must not be changed.
func (c *crowd) entries() []*entry {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.list
}

// at returns the entry of a node.
func (c *crowd) at(name kqname.Node) (*entry, error) {
	for _, e := range c.entries() {
		if e.server.Spec.Node == name {
			return e, nil
		}
	}
	return nil, fmt.Errorf("node %s is not open to callers", name)
}

// await returns once a host answers through a node.
func (c *crowd) await(ctx context.Context, e *entry, host kqname.Host) error {
	for {
		result, _, _ := e.ask(host, "/")
		if result == kqcall.Answered {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s at %s: %w", host, e.server.Spec.Node, ctx.Err())
		case <-time.After(pollEvery):
		}
	}
}

// ask sends one call that is not counted and returns how it ended and the
// first word of its answer, which names the service.
func (e *entry) ask(host kqname.Host, path string) (kqcall.Result, kqcall.Reason, string) {
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.SetRequestURI("http://" + string(host) + path)
	if err := e.outside.DoTimeout(q, a, callTimeout); err != nil {
		return "", "", ""
	}
	var service string
	// An answer without a word in it names no service.
	_, _ = fmt.Sscan(string(a.Body()), &service)
	return kqcall.Result(a.Header.Peek(kqcall.HeaderResult)), kqcall.Reason(a.Header.Peek(kqcall.HeaderReason)), service
}

// client never sends a call twice by itself: what callers count would be wrong.
func client(to kqname.Address) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: string(to), MaxConns: connections, MaxIdleConnDuration: time.Minute, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// work returns the id that an answer is for.
func work(a *fasthttp.Response) string { return string(a.Header.Peek(kqupstream.HeaderWork)) }
