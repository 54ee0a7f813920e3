package kqnode

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/base/kqkeeper"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

// panicked counts a panic that was caught and, now and then, notes it.
func (n *Node) panicked(p kqkeeper.Panic) {
	n.metrics.Panicked(p.Part)
	if p.Stack == "" {
		return
	}
	n.note(logrus.Fields{"event": "panic", "panicked": p.Part, "panic": p.Value, "stack": p.Stack}, fmt.Sprintf("Panic in %s: %s.", p.Part, p.Value))
}

// Keep runs a part of the program beside the node, again where it panics.
func (n *Node) Keep(ctx context.Context, part string, f func()) { n.keeper.Keep(ctx, part, f) }

// kept has a request that panics end alone. The library that serves requests does
// not catch a panic, which would end the process. Whether the call ran is not known
// here.
func (n *Node) kept(handler fasthttp.RequestHandler, count func(kqcall.Outcome)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		n.bodies.Serve(&ctx.Request.Header)
		defer n.bodies.Give(&ctx.Request.Header)
		if n.keeper.Try("request", func() { handler(ctx) }) {
			return
		}
		o := kqcall.Lose(kqcall.Panicked)
		count(o)
		c := &kqcall.Call{Request: &ctx.Request, Response: &ctx.Response}
		c.Answer(o)
		ctx.SetConnectionClose()
	}
}
