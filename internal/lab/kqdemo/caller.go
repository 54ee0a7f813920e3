package kqdemo

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// answered calls got the complete answer to their own request.
	answered callResult = iota
	// notRun calls were refused by a node, which stated that they did not run.
	notRun
	// unknown calls may have run: a node said so, or the call failed and its target
	// was killed.
	unknown
	// lost calls failed with an error although their target was not killed, or
	// got an answer without a result header.
	lost
	// crossed calls got the answer to another request, an incomplete answer, or one
	// with a status other than 200 or 500.
	crossed

	// forged is the call id that forged headers carry.
	forged = "forged"
)

type (
	// callResult is the result of a call as its caller observed it.
	callResult uint8

	// record describes one call as its caller observed it.
	record struct {
		workID     string
		host       kqname.Host
		idempotent bool
		callResult callResult
		reason     string
		began      time.Time
		ended      time.Time
		// stopping is set if the call ended after the graceful stop of the target began.
		stopping bool
		// forged is set if the call carried forged internal headers.
		forged bool
	}

	// caller simulates a caller of a service: it sends calls one after another and
	// records their results. It is not safe for concurrent use.
	caller struct {
		name       string
		dep        deployment
		targetPool *targetPool
		random     *rand.Rand
		serial     int
		records    []record
	}
)

func newCaller(dep deployment, number int, p *targetPool) *caller {
	return &caller{
		name: fmt.Sprintf("%s-%d", dep.service, number), dep: dep, targetPool: p,
		random: rand.New(rand.NewPCG(uint64(number), uint64(len(dep.service)))),
	}
}

// run sends calls until ctx ends and completes the call that is in flight then.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		method, path := c.chooseRequest()
		c.call(method, path)
		pause := time.Duration((0.5 + c.random.Float64()) * float64(c.dep.pause))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (c *caller) chooseRequest() (method, path string) {
	switch n := c.random.IntN(100); {
	case n < 2:
		return fasthttp.MethodPost, latePath
	case n < 4:
		return fasthttp.MethodGet, latePath
	case n < 6:
		return fasthttp.MethodGet, "/long/"
	case n < 26:
		return fasthttp.MethodPost, "/order"
	case n < 46:
		return fasthttp.MethodGet, galleryPath
	default:
		return fasthttp.MethodGet, "/item"
	}
}

// call sends one call through the external or the local address of a random
// node and records its result. A call that could not connect has not been sent, so
// a node is chosen at random again.
func (c *caller) call(method, path string) {
	for {
		targets := c.targetPool.targets()
		t := targets[c.random.IntN(len(targets))]
		if c.send(t, method, path, c.random.IntN(4) == 0) {
			return
		}
	}
}

// send sends one call to a target and records its result. It returns false,
// without a record, if it could not connect.
func (c *caller) send(t *target, method, path string, local bool) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.serial++
	r := record{
		workID: fmt.Sprintf("%s-%d", c.name, c.serial), host: kqname.Host(c.dep.service),
		idempotent: method == fasthttp.MethodGet, began: time.Now(), forged: !local && c.random.IntN(10) == 0,
	}
	req.SetRequestURI("http://" + string(r.host) + path)
	req.Header.SetMethod(method)
	req.Header.Set(kqupstream.HeaderWorkID, r.workID)
	if r.forged {
		setForgedHeaders(&req.Header)
	}
	to := t.external
	if local {
		to = t.local
	}
	err := to.DoTimeout(req, resp, callTimeout)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" || errors.Is(err, fasthttp.ErrDialTimeout) {
		return false
	}
	r.stopping, r.ended = t.stopping.Load(), time.Now()
	r.callResult, r.reason = c.classify(t, r, resp, err)
	c.records = append(c.records, r)
	return true
}

func (c *caller) classify(t *target, r record, resp *fasthttp.Response, err error) (callResult, string) {
	switch {
	case err != nil && t.killed.Load():
		return unknown, "entry died"
	case err != nil:
		return lost, err.Error()
	}
	reason := string(resp.Header.Peek(kqcall.HeaderReason))
	switch kqcall.Result(resp.Header.Peek(kqcall.HeaderResult)) {
	case kqcall.NotRun:
		return notRun, reason
	case kqcall.Unknown:
		return unknown, reason
	case kqcall.Answered:
		if !c.isOwnAnswer(r, resp) {
			return crossed, fmt.Sprintf("not a complete answer to this call: work id %q, body %q", workID(resp), resp.Body())
		}
		return answered, ""
	default:
		return lost, "answer without a result header"
	}
}

// isOwnAnswer reports whether an answer is complete and belongs to this call. It
// must not have the forged call id. Status 500, sent by bad versions, has no body
// to check but echoes the work id.
func (c *caller) isOwnAnswer(r record, resp *fasthttp.Response) bool {
	if workID(resp) != r.workID || r.forged && string(resp.Header.Peek(kqcall.HeaderID)) == forged {
		return false
	}
	if resp.StatusCode() == fasthttp.StatusInternalServerError {
		return true
	}
	words := strings.Fields(string(resp.Body()))
	return resp.StatusCode() == fasthttp.StatusOK && len(words) == 3 && words[0] == string(c.dep.service) && words[2] == r.workID
}

// setForgedHeaders sets internal headers as a malicious or faulty caller might: to
// reach another service's new version, to be sent twice, to exhaust the timeout or
// the call depth, and to be taken for another call. The value of kq-call is malformed
// for kqcall.Read.
func setForgedHeaders(h *fasthttp.RequestHeader) {
	h.Set(kqcall.HeaderID, forged)
	h.Set(kqcall.HeaderTimeout, "1")
	h.Set(kqcall.HeaderDepth, "31")
	h.Set(kqcall.HeaderResult, string(kqcall.NotRun))
	h.Set(kqcall.HeaderReason, string(kqcall.NotStartedInTime))
	h.Set("kq-call", forged+"|||woodshed|"+string(newVersion)+"||1|1|1|31")
}
