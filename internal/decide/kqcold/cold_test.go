package kqcold_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqcold"
)

const bound = 28

// upstream counts the calls that it gets and checks them against the bound.
type upstream struct {
	l         *kqcold.Limiter
	now       time.Time
	coldUntil time.Time
	calls     []time.Time
	checks    int
	refused   int
}

func newUpstream(l *kqcold.Limiter) *upstream { return &upstream{l: l, now: time.Unix(1000, 0)} }

// offer offers a call each interval for the given time, with a health check of 2 ms whenever
// one is needed.
func (u *upstream) offer(interval, duration time.Duration) {
	for end := u.now.Add(duration); u.now.Before(end); u.now = u.now.Add(interval) {
		v := u.l.Admit(0, u.now)
		if v == kqcold.Unproven {
			u.checks++
			if u.now.Before(u.coldUntil) {
				u.l.RecordCold(u.coldUntil)
			} else {
				u.l.RecordWarm(u.now)
			}
			u.now = u.now.Add(2 * time.Millisecond)
			v = u.l.Admit(0, u.now)
		}
		if v != kqcold.Allowed {
			u.refused++
			continue
		}
		u.calls = append(u.calls, u.now)
	}
}

// most returns the largest number of calls in any second from the given time on.
func (u *upstream) most(from time.Time) int {
	most, first := 0, 0
	for i, at := range u.calls {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for at.Sub(u.calls[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against calls beyond what a cold upstream bears, which make it crash and come back
// cold.
func TestColdUpstreamGetsNoMoreThanItBears(t *testing.T) {
	u := newUpstream(kqcold.New(bound))
	u.coldUntil = u.now.Add(3 * time.Second)
	u.l.RecordCold(u.coldUntil)
	u.offer(5*time.Millisecond, 3*time.Second)
	if most := u.most(time.Time{}); most > bound || len(u.calls) < 2*bound {
		t.Errorf("%d calls in 3 s, at most %d in a second, want up to %d", len(u.calls), most, bound)
	}
	if u.checks > 0 {
		t.Errorf("%d health checks of an upstream known to be cold", u.checks)
	}
}

// Guards against all calls of a second at once: they would wait for the slots of the cold
// upstream, and most would be late.
func TestCallsToAColdUpstreamAreSpread(t *testing.T) {
	u := newUpstream(kqcold.New(bound))
	u.l.RecordCold(u.now.Add(3 * time.Second))
	u.offer(time.Millisecond, 100*time.Millisecond)
	if len(u.calls) > bound/4+1 {
		t.Errorf("%d calls in the first 100 ms, want at most %d", len(u.calls), bound/4+1)
	}
}

// Guards against too many calls to an upstream that becomes cold without a word, between two
// announcements.
func TestUpstreamThatBecomesColdUnnoticed(t *testing.T) {
	for _, interval := range []time.Duration{5 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond} {
		u := newUpstream(kqcold.New(bound))
		u.offer(interval, 5*time.Second)
		if u.refused > 0 {
			t.Errorf("%d calls refused while the upstream was warm", u.refused)
		}
		cold := u.now
		u.coldUntil = u.now.Add(3 * time.Second)
		u.offer(interval, 3*time.Second)
		if most := u.most(cold); most > bound {
			t.Errorf("a call each %v: %d in a second, want up to %d", interval, most, bound)
		}
	}
}

// Guards against health checks that no call needs: each costs the upstream a slot for a
// moment.
func TestFewCallsNeedNoHealthChecks(t *testing.T) {
	u := newUpstream(kqcold.New(bound))
	u.offer(time.Second/20, 10*time.Second)
	if u.checks > 1 || u.refused > 0 {
		t.Errorf("%d health checks and %d refusals at 20 calls a second", u.checks, u.refused)
	}
	u = newUpstream(kqcold.New(bound))
	u.offer(time.Second/100, 10*time.Second)
	if limit := 10*100/bound + 1; u.checks > limit || u.refused > 0 {
		t.Errorf("%d health checks and %d refusals at 100 calls a second, want at most %d and 0", u.checks, u.refused, limit)
	}
}

// Guards against twice the bound in one second, from a process that ended and the one that
// took its place.
func TestRestartedProcessKeepsToTheBound(t *testing.T) {
	u := newUpstream(kqcold.New(bound))
	u.coldUntil = u.now.Add(3 * time.Second)
	u.l.RecordCold(u.coldUntil)
	u.offer(5*time.Millisecond, time.Second)
	u.l = kqcold.NewAfter(bound, u.now)
	u.l.RecordCold(u.coldUntil)
	u.offer(5*time.Millisecond, 2*time.Second)
	if most := u.most(time.Time{}); most > bound {
		t.Errorf("%d calls in a second, want up to %d", most, bound)
	}
}

// Guards against a service that stays slow after its cold start: from its end on, the
// upstream gets all calls.
func TestWarmUpstreamGetsAllCalls(t *testing.T) {
	u := newUpstream(kqcold.New(bound))
	u.coldUntil = u.now.Add(time.Second)
	u.l.RecordCold(u.coldUntil)
	u.now = u.coldUntil
	u.offer(10*time.Millisecond, time.Second)
	if u.refused > 0 {
		t.Errorf("%d calls refused after the cold start", u.refused)
	}
}

// Guards against counting calls that the upstream has not got.
func TestForgottenCallLeavesItsPlace(t *testing.T) {
	l, now := kqcold.New(bound), time.Unix(1000, 0)
	l.RecordCold(now.Add(time.Minute))
	for range 10 * bound {
		if v := l.Admit(0, now); v != kqcold.Allowed {
			t.Fatalf("verdict %d", v)
		}
		l.Forget()
	}
}

// Guards against twice the bound on an upstream that starts anew under the name that it had:
// calls meant for the former start have reached it before its first announcement.
func TestCallsBeforeTheFirstAnnouncementCount(t *testing.T) {
	u := newUpstream(kqcold.New(bound))
	u.coldUntil = u.now.Add(3 * time.Second)
	u.offer(5*time.Millisecond, 500*time.Millisecond)
	u.l.Restart()
	u.l.RecordCold(u.coldUntil)
	u.offer(5*time.Millisecond, 2*time.Second)
	if most := u.most(time.Time{}); most > bound {
		t.Errorf("%d calls in a second, want up to %d", most, bound)
	}
}

// Guards against the few calls that a cold upstream bears going to less important callers: two
// thirds of the calls have a low priority, a third a high one that alone exceeds the bound.
func TestColdUpstreamServesTheMostImportantCalls(t *testing.T) {
	l, now := kqcold.New(bound), time.Unix(1000, 0)
	l.RecordCold(now.Add(3 * time.Second))
	var served [2]int
	for i := range 3 * 120 {
		priority := []int{5, 5, 1}[i%3]
		if l.Admit(priority, now) == kqcold.Allowed {
			served[priority/5]++
		}
		now = now.Add(3 * time.Second / 360)
	}
	if served[0] < 2*bound || served[1] > bound/2 {
		t.Errorf("%d important and %d other calls served, want most of %d important", served[0], served[1], 3*bound)
	}
}

// Guards against a place that stays empty where the important calls do not need it.
func TestColdUpstreamServesOthersToo(t *testing.T) {
	l, now := kqcold.New(bound), time.Unix(1000, 0)
	l.RecordCold(now.Add(3 * time.Second))
	var served [2]int
	for i := range 300 {
		priority := 5
		if i%30 == 0 {
			priority = 1
		}
		if l.Admit(priority, now) == kqcold.Allowed {
			served[priority/5]++
		}
		now = now.Add(10 * time.Millisecond)
	}
	if served[0]+served[1] < bound {
		t.Errorf("%d important and %d other calls served in 3 s, want at least %d", served[0], served[1], bound)
	}
}
