package kqnode

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

// recordPanic counts a recovered panic and logs it if it has a stack. Repeated panics of a
// part within a second come without one.
func (n *Node) recordPanic(p kqsupervisor.Panic) {
	n.metrics.Panicked(p.Part)
	if p.Stack == "" {
		return
	}
	n.logEvent(logrus.Fields{"event": "panic", "panicked": p.Part, "panic": p.Value, "stack": p.Stack}, fmt.Sprintf("Panic in %s: %s.", p.Part, p.Value))
}

// RunWithRestart runs a part of the program until it returns, and restarts it after a panic.
func (n *Node) RunWithRestart(ctx context.Context, part string, f func()) {
	n.supervisor.RunWithRestart(ctx, part, f)
}

// recoverPanics limits a panic to the request that caused it: the HTTP library does not
// recover panics, so one would end the process. After a panic it is unknown whether the call
// ran.
func (n *Node) recoverPanics(handler fasthttp.RequestHandler, count func(kqcall.Outcome)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if n.supervisor.RunRecovered("request", func() { handler(ctx) }) {
			return
		}
		o := kqcall.UnknownOutcome(kqcall.Panicked)
		count(o)
		c := &kqcall.Call{Request: &ctx.Request, Response: &ctx.Response}
		c.Answer(o)
		ctx.SetConnectionClose()
	}
}
