package kqsoakrun

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoak"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakcheck"
)

const (
	// deadlyHost is the host of both services, so that all upstreams may get the request.
	deadlyHost = "both.example"
	// maxDeadlyPause bounds the pause between two repeats; some come at once.
	maxDeadlyPause = 300 * time.Millisecond
	// replacementDelay is the time from the end of an upstream under a request to the start of
	// the next one.
	replacementDelay = 300 * time.Millisecond
)

// repeatDeadly repeats a request that ends its upstreams at one node after the other, and now and
// then at two at the same moment.
func (s *Soak) repeatDeadly(ctx context.Context, f kqsoak.Fault) error {
	request := fmt.Sprintf("%s%d", kqsoakcheck.DeadlyPrefix, f.At.Milliseconds())
	r := route{deadlyHost, "/read/" + request, true, ""}
	random := rand.New(rand.NewPCG(s.options.Seed, uint64(f.At)))
	var callers [2]*caller
	for i := range callers {
		callers[i] = &caller{soak: s, name: fmt.Sprintf("%s-%d", request, i), connMode: connPerCall, random: rand.New(rand.NewPCG(s.options.Seed, uint64(i)))}
	}
	node := f.Target
	for end := s.now() + f.For; s.now() < end; node++ {
		var group conc.WaitGroup
		for i, c := range callers[:1+random.IntN(2)] {
			group.Go(func() { c.callNode((node+i)%len(s.nodes), r) })
		}
		group.Wait()
		if !sleep(ctx, time.Duration(random.IntN(2))*time.Duration(random.Int64N(int64(maxDeadlyPause)))) {
			return nil
		}
	}
	return nil
}

// replaceEnded starts an upstream in place of one that ended under a call.
func (n *node) replaceEnded(name string, at time.Duration) {
	ended := n.soak.checker.EndedUnderCall(n.number, at)
	defer func() { ended(n.soak.now()) }()
	n.upstream.lifecycle.Lock()
	defer n.upstream.lifecycle.Unlock()
	if n.upstream.runningName() != name {
		return
	}
	n.soak.children.kill(n.upstream.process())
	time.Sleep(replacementDelay)
	if err := n.startUpstream(); err != nil {
		n.soak.logEvent(event{Event: "not replaced", Target: name, Text: err.Error()})
	}
}

// runningName returns the name of the upstream's process, which may have exited.
func (u *upstream) runningName() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.name
}
