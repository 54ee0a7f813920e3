package kqentry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqcallerretry"
)

// retryAfterParts divides a caller's remaining time to get its Retry-After: a third of it
// allows for about three attempts.
const retryAfterParts = 3

type (
	// returningCallers remembers calls without a successful answer, in shards by caller and
	// request, to recognize their callers' retries.
	returningCallers struct {
		shards [shardCount]*returningShard
	}

	// returningShard is one shard of a returningCallers. Its field returningCallers tracks
	// the calls of this shard only.
	returningShard struct {
		mu               sync.Mutex
		returningCallers *kqcallerretry.RetryTracker
	}
)

// newReturningCallers returns a returningCallers that remembers no calls.
func newReturningCallers() returningCallers {
	var r returningCallers
	for i := range r.shards {
		r.shards[i] = &returningShard{returningCallers: kqcallerretry.New()}
	}
	return r
}

// started sets when the caller first made the call, when the caller stops waiting, and the
// call's key. The caller first made the call now, unless it is the retry of a call that got
// no successful answer. Only calls whose callers say how long they wait are recognized as
// retries.
func (r *returningCallers) started(f *callState, now time.Time) {
	f.firstTry, f.callerDeadline = now, f.call.Deadline
	if f.callerDeadline.IsZero() {
		return
	}
	f.callKey = callKey(&f.call)
	s := r.shards[f.callKey%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	f.firstTry = s.returningCallers.TakeFirstAttempt(f.callKey, now)
}

// ended remembers a call without a successful answer until its caller's deadline, so that a
// retry is recognized. Calls whose callers do not say how long they wait are not
// remembered.
func (r *returningCallers) ended(f *callState, o kqcall.Outcome) {
	c := &f.call
	if f.callerDeadline.IsZero() || o.Result == kqcall.Answered && c.Response.StatusCode() < failureStatus {
		return
	}
	s := r.shards[f.callKey%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returningCallers.RecordFailure(f.callKey, f.firstTry, f.callerDeadline)
}

// setRetryAfter sets the Retry-After of a call that was refused since no upstream takes calls, if the
// refusal, such as that of a gate that has just begun to drain, has none. A call that was refused for
// another reason may be served elsewhere at once.
func setRetryAfter(o *kqcall.Outcome) {
	if o.RetryAfter == 0 && o.Reason != kqcall.ConnectFailed && takesNoCalls(o.Reason) {
		o.RetryAfter = defaultRetryAfter
	}
}

// extendRetryAfter lengthens a Retry-After after which the call would miss its target
// anyway, to at least a third of the caller's remaining time. The caller then retries after
// a burst is over rather than twice more during it.
func (f *callState) extendRetryAfter(o *kqcall.Outcome, now time.Time) {
	c := &f.call
	if o.RetryAfter == 0 || c.Target.IsZero() || f.callerDeadline.IsZero() || now.Add(o.RetryAfter).Before(c.Target) {
		return
	}
	o.RetryAfter = max(o.RetryAfter, f.callerDeadline.Sub(now)/retryAfterParts)
}

// callKey returns a hash of the caller and its request's method, host and URI. It must run
// before these are changed.
func callKey(c *kqcall.Call) kqcallerretry.Key {
	var d xxhash.Digest
	d.Reset()
	h := &c.Request.Header
	for _, part := range [][]byte{[]byte(c.Caller), h.Method(), h.Host(), h.RequestURI()} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return kqcallerretry.Key(d.Sum64())
}
