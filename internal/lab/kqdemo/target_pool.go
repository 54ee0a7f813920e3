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
	callTimeout    = 5 * time.Second
	maxConnections = 512
)

type (
	// targetPool holds the nodes that callers choose from. It is safe for
	// concurrent use.
	targetPool struct {
		mu   sync.RWMutex
		list []*target
	}

	// target is one node with clients for its external entry address and for its
	// local address, which the upstream on its server uses.
	target struct {
		server          *kqfleet.Server
		external, local *fasthttp.HostClient
		// killed is set before the server is killed, stopping before it is
		// stopped gracefully.
		killed, stopping atomic.Bool
	}
)

func newTargetPool() *targetPool { return &targetPool{} }

// add adds a server to the nodes that callers choose from.
func (p *targetPool) add(s *kqfleet.Server) *target {
	t := &target{server: s, external: client(s.Node.EntryAddress()), local: client(s.Node.LocalAddress())}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, t)
	return t
}

// remove removes a target; calls in flight to it go on.
func (p *targetPool) remove(t *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make([]*target, 0, len(p.list))
	for _, other := range p.list {
		if other != t {
			kept = append(kept, other)
		}
	}
	p.list = kept
}

// targets returns the current targets. The list must not be modified.
func (p *targetPool) targets() []*target {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.list
}

// at returns the target with this node name, or an error if none has it.
func (p *targetPool) at(name kqname.Node) (*target, error) {
	for _, t := range p.targets() {
		if t.server.Spec.Node == name {
			return t, nil
		}
	}
	return nil, fmt.Errorf("node %s is not in the pool", name)
}

// awaitAnswer waits until a call to host through t is answered.
func (p *targetPool) awaitAnswer(ctx context.Context, t *target, host kqname.Host) error {
	for {
		result, _, _ := t.sendUncounted(host, "/")
		if result == kqcall.Answered {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for an answer of host %s through node %s: %w", host, t.server.Spec.Node, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// sendUncounted sends one call to the external address; the report does not count
// it. It returns the result, its reason and the first word of the body, which is the
// service's name if an upstream sent the body. All three are empty if the call
// failed.
func (t *target) sendUncounted(host kqname.Host, path string) (kqcall.Result, kqcall.Reason, string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + string(host) + path)
	if err := t.external.DoTimeout(req, resp, callTimeout); err != nil {
		return "", "", ""
	}
	var service string
	// The body may be empty; service then stays empty.
	_, _ = fmt.Sscan(string(resp.Body()), &service)
	return kqcall.Result(resp.Header.Peek(kqcall.HeaderResult)), kqcall.Reason(resp.Header.Peek(kqcall.HeaderReason)), service
}

// client returns a client without automatic retries, which would make a call run
// twice without a fault of the nodes.
func client(to kqname.Address) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: string(to), MaxConns: maxConnections, MaxIdleConnDuration: time.Minute, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// workID returns the work id that an answer echoes.
func workID(resp *fasthttp.Response) string { return string(resp.Header.Peek(kqupstream.HeaderWorkID)) }
