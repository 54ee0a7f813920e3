package kqsuspicion_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
)

// Guards against a caller that is answered, or a call that is sent again, while news of an end are
// still on their way after the time that they usually take; and against a wait beyond the call's deadline.
func TestCallsWaitForTheConfirmationOfNews(t *testing.T) {
	r, n := kqfingerprint.Fingerprint{9}, &network{confirmed: make(chan struct{})}
	a, b := start(t, "a", n), start(t, "b", n)
	a.end(r, 1)
	call := func(timeout time.Duration) *kqcall.Call {
		return &kqcall.Call{Fingerprint: r, Deadline: time.Now().Add(timeout)}
	}
	await(t, "the other node knows", func() bool { return len(b.Suspects(time.Now())) == 1 })
	began := time.Now()
	if a.Admit(call(300*time.Millisecond), kqquarantine.Outgoing); time.Since(began) < 200*time.Millisecond {
		t.Errorf("a call was sent %v after news that are not confirmed", time.Since(began))
	}
	// The other node has not told the end itself, so that it cannot know that all nodes know.
	for _, node := range []*testNode{a, b} {
		began := time.Now()
		node.AwaitSpread(call(200 * time.Millisecond))
		if took := time.Since(began); took < 190*time.Millisecond || took > time.Second {
			t.Errorf("the answer waited for %v, want the call's 200 ms", took)
		}
	}
	close(n.confirmed)
	for _, node := range []*testNode{a, b} {
		began := time.Now()
		node.AwaitSpread(call(time.Minute))
		if took := time.Since(began); took > kqquarantine.SpreadTime+100*time.Millisecond {
			t.Errorf("the answer waited for %v after the confirmation", took)
		}
	}
}
