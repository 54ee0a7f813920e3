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
	// answered calls have the whole answer to their own request.
	answered fate = iota
	notRun
	unknown
	// lost calls were cut, or ended without a word on how.
	lost
	// crossed calls got an answer to something else.
	crossed

	forged = "forged"
)

type (
	// fate is how a call ended, as its caller sees it.
	fate uint8

	// record is one call, as its caller saw it.
	record struct {
		work       string
		host       kqname.Host
		idempotent bool
		fate       fate
		reason     string
		began      time.Time
		ended      time.Time
		// leaving tells that the entry was being stopped, and gracefully.
		leaving bool
		// forged tells that the call carried headers of the system's own.
		forged bool
	}

	caller struct {
		name    string
		dep     deployment
		crowd   *crowd
		random  *rand.Rand
		serial  int
		records []record
	}
)

func newCaller(dep deployment, number int, c *crowd) *caller {
	return &caller{
		name: fmt.Sprintf("%s-%d", dep.service, number), dep: dep, crowd: c,
		random: rand.New(rand.NewPCG(uint64(number), uint64(len(dep.service)))),
	}
}

// run calls until ctx ends; the call in flight is finished.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		method, path := c.choose()
		c.call(method, path)
		pause := time.Duration((0.5 + c.random.Float64()) * float64(c.dep.pause))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (c *caller) choose() (method, path string) {
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

// call sends one call through a random node, from outside or from inside, and
// records how it ended. A connection that is refused carries nothing, so the
// caller simply takes another node.
func (c *caller) call(method, path string) {
	for {
		entries := c.crowd.entries()
		e := entries[c.random.IntN(len(entries))]
		if c.send(e, method, path, c.random.IntN(4) == 0) {
			return
		}
	}
}

// send reports false where the node took no connection.
func (c *caller) send(e *entry, method, path string, inside bool) bool {
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	c.serial++
	r := record{
		work: fmt.Sprintf("%s-%d", c.name, c.serial), host: kqname.Host(c.dep.service),
		idempotent: method == fasthttp.MethodGet, began: time.Now(), forged: !inside && c.random.IntN(10) == 0,
	}
	q.SetRequestURI("http://" + string(r.host) + path)
	q.Header.SetMethod(method)
	q.Header.Set(kqupstream.HeaderWork, r.work)
	if r.forged {
		forge(&q.Header)
	}
	to := e.outside
	if inside {
		to = e.inside
	}
	err := to.DoTimeout(q, a, callTimeout)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, fasthttp.ErrDialTimeout) {
		return false
	}
	r.leaving, r.ended = e.leaving.Load(), time.Now()
	r.fate, r.reason = c.judge(e, r, a, err)
	c.records = append(c.records, r)
	return true
}

func (c *caller) judge(e *entry, r record, a *fasthttp.Response, err error) (fate, string) {
	switch {
	case err != nil && e.killed.Load():
		return unknown, "entry died"
	case err != nil:
		return lost, err.Error()
	}
	reason := string(a.Header.Peek(kqcall.HeaderReason))
	switch kqcall.Result(a.Header.Peek(kqcall.HeaderResult)) {
	case kqcall.NotRun:
		return notRun, reason
	case kqcall.Unknown:
		return unknown, reason
	case kqcall.Answered:
		if !c.own(r, a) {
			return crossed, fmt.Sprintf("answer to %q: %q", work(a), a.Body())
		}
		return answered, ""
	default:
		return lost, "no result in the answer"
	}
}

// own reports whether an answer is whole and for this very call. The bad
// version's failures have no body, but they echo the id.
func (c *caller) own(r record, a *fasthttp.Response) bool {
	if work(a) != r.work || r.forged && string(a.Header.Peek(kqcall.HeaderID)) == forged {
		return false
	}
	if a.StatusCode() == fasthttp.StatusInternalServerError {
		return true
	}
	words := strings.Fields(string(a.Body()))
	return a.StatusCode() == fasthttp.StatusOK && len(words) == 3 && words[0] == string(c.dep.service) && words[2] == r.work
}

// forge sets headers of the system's own, as a hostile or confused caller may:
// to reach another service's new version, to be sent twice, to run out of time
// or depth, and to look like another's call.
func forge(h *fasthttp.RequestHeader) {
	h.Set(kqcall.HeaderID, forged)
	h.Set(kqcall.HeaderTimeout, "1")
	h.Set(kqcall.HeaderDepth, "31")
	h.Set(kqcall.HeaderResult, string(kqcall.NotRun))
	h.Set(kqcall.HeaderReason, string(kqcall.Late))
	h.Set("kq-call", forged+"|||woodshed|"+string(newVersion)+"||1|1|1|31")
}
