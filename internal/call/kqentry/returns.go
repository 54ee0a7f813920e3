package kqentry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqreturn"
)

// patienceParts is into how many parts a caller's patience is shared out over its tries.
const patienceParts = 3

type (
	// returns knows callers who come back, in shards by what they ask for.
	returns struct {
		shards [shardCount]*returnShard
	}

	returnShard struct {
		mu      sync.Mutex
		returns *kqreturn.Returns
	}
)

func newReturns() returns {
	var r returns
	for i := range r.shards {
		r.shards[i] = &returnShard{returns: kqreturn.New()}
	}
	return r
}

// began takes in a call that comes: since when its caller has been asking.
func (r *returns) began(f *flight, now time.Time) {
	f.first, f.patience = now, f.call.Deadline
	if f.patience.IsZero() {
		return
	}
	f.key = key(&f.call)
	s := r.shards[f.key%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	f.first = s.returns.First(f.key, now)
}

// ended takes in how a call ended. Callers who say how long they wait may come back until
// then, unless they have a good answer.
func (r *returns) ended(f *flight, o kqcall.Outcome) {
	c := &f.call
	if f.patience.IsZero() || o.Result == kqcall.Answered && c.Response.StatusCode() < failureStatus {
		return
	}
	s := r.shards[f.key%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returns.Unserved(f.key, f.first, f.patience)
}

// settle gives a refused caller time where its answer can only be late: whatever it is
// told, it has lost its target when it comes back. A third of its time, for each of its
// tries, has it come back when a burst is over, rather than twice more within it.
func (f *flight) settle(o *kqcall.Outcome, now time.Time) {
	c := &f.call
	if o.RetryAfter == 0 || c.Target.IsZero() || f.patience.IsZero() || now.Add(o.RetryAfter).Before(c.Target) {
		return
	}
	o.RetryAfter = max(o.RetryAfter, f.patience.Sub(now)/patienceParts)
}

// key tells who asks for what. The request's header is as the caller sent it.
func key(c *kqcall.Call) kqreturn.Key {
	var d xxhash.Digest
	d.Reset()
	h := &c.Request.Header
	for _, part := range [][]byte{[]byte(c.Caller), h.Method(), h.Host(), h.RequestURI()} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return kqreturn.Key(d.Sum64())
}
