package kqentry_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/call/kqnesting"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
)

// lockedQuarantine is a quarantine that no other node knows of.
type lockedQuarantine struct {
	mu sync.Mutex
	*kqquarantine.Quarantine
}

func newLockedQuarantine() *lockedQuarantine {
	return &lockedQuarantine{Quarantine: kqquarantine.New(time.Minute, func(kqquarantine.Start) kqquarantine.Fate { return kqquarantine.Unknown })}
}

func (q *lockedQuarantine) Admit(c *kqcall.Call, side kqquarantine.Side) kqquarantine.Verdict {
	for came := time.Now(); ; {
		q.mu.Lock()
		v := q.Decide(c.Fingerprint, side, came, time.Now())
		q.mu.Unlock()
		if v != kqquarantine.Wait {
			return v
		}
		time.Sleep(time.Millisecond)
	}
}

func (*lockedQuarantine) AwaitSpread(*kqcall.Call) {}

func (q *lockedQuarantine) Finish(c *kqcall.Call, side kqquarantine.Side) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Quarantine.Finish(c.Fingerprint, side)
}

func (q *lockedQuarantine) RecordEnd(r kqfingerprint.Fingerprint, from kqquarantine.Origin, e kqquarantine.End) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Quarantine.RecordEnd(r, from, e)
}

func (q *lockedQuarantine) RecordAnswer(r kqfingerprint.Fingerprint, sent, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Quarantine.RecordAnswer(r, sent, now)
}

func (q *lockedQuarantine) ends(r kqfingerprint.Fingerprint) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, _ := q.Find(r, time.Now())
	return len(s.Ends)
}

// A nested call ends its upstreams, and is made again under another id each time its parent runs again.
func TestParentOfACallThatEndsUpstreamsIsSuspected(t *testing.T) {
	g, nesting, q := newFakeGate(t), kqnesting.New(), newLockedQuarantine()
	call := newCallerWithTimeout(t, g, nesting, kqentry.WithQuarantine(q))
	parent := kqfingerprint.Fingerprint{7}
	g.upstreamEnds.Store(true)
	for _, id := range []string{"a", "b", "c"} {
		nesting.Begin(&kqcall.Call{ID: kqcall.ID(id), Fingerprint: parent, Service: "shop", Route: "page"})
		call("Id: "+id+".1", "Above: "+id)
		nesting.End(kqcall.ID(id))
	}
	if got := q.ends(parent); got == 0 {
		t.Error("the parent is not suspected")
	}
	before := g.calls.Load()
	for range 5 {
		call("Id: d")
	}
	if got := g.calls.Load(); got > kqquarantine.MaxEnds {
		t.Errorf("the gate got the nested request %d times, %d before, want at most %d", got, before, kqquarantine.MaxEnds)
	}
	if a := call("Id: e"); a.StatusCode != http.StatusServiceUnavailable || a.Header.Get(kqcall.HeaderReason) != string(kqcall.Quarantined) {
		t.Errorf("the caller got %d, %s, want 503, quarantined", a.StatusCode, a.Header.Get(kqcall.HeaderReason))
	}
}
