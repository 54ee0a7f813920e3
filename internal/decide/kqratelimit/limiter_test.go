package kqratelimit_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqratelimit"
)

const (
	step   = 5 * time.Millisecond
	window = 4 * time.Second
	order  = 1
	browse = 5
)

// play offers a call of each priority every step, and counts the calls that are sent.
type play struct {
	*kqratelimit.Limiter
	now   time.Time
	sent  []time.Time
	count map[int]int
}

func newPlay() *play {
	return &play{Limiter: kqratelimit.New(), now: time.Unix(1000, 0), count: make(map[int]int)}
}

// offer offers one call of the priority and reports whether it was sent.
func (p *play) offer(priority int) bool {
	if p.IsActive(p.now) {
		if _, allowed := p.Reserve(priority, p.now); !allowed {
			return false
		}
		p.Send(p.now)
	}
	p.sent = append(p.sent, p.now)
	p.count[priority]++
	return true
}

// run offers calls of the given priority, each after the interval, for the duration.
func (p *play) run(duration, interval time.Duration, priority int) {
	for end := p.now.Add(duration); p.now.Before(end); p.now = p.now.Add(interval) {
		p.offer(priority)
	}
}

// most returns the largest number of calls in any window since the given time.
func (p *play) most(since time.Time) int {
	most, first := 0, 0
	for i, at := range p.sent {
		if at.Before(since) {
			first = i + 1
			continue
		}
		for at.Sub(p.sent[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed is the bound that upstreams state: one and a half times the limit, and five calls.
func allowed(limit float64) int { return int(1.5*window.Seconds()*limit) + 5 }

// Guards against more calls in any window than the upstream bears, and against far fewer.
func TestCallsKeepToTheLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.1, 0.5, 1, 2, 10, 24, 22.3, 150} {
		p := newPlay()
		named := p.now
		p.Name(limit, p.now)
		p.run(20*time.Second, step, browse)
		if most := p.most(named); most > allowed(limit) {
			t.Errorf("limit %v: %d calls in a window, want at most %d", limit, most, allowed(limit))
		}
		if least := int(0.9 * 20 * limit); len(p.sent) < least {
			t.Errorf("limit %v: %d calls in 20 s, want at least %d", limit, len(p.sent), least)
		}
		if len(p.sent) == 0 {
			t.Errorf("limit %v: no call, so a change of the limit would never be heard", limit)
		}
	}
}

// Guards against calls of a higher limit that fill the windows of a lower one.
func TestLoweredLimitCountsEarlierCalls(t *testing.T) {
	p := newPlay()
	p.Name(24, p.now)
	p.run(10*time.Second, step, browse)
	lowered := p.now
	p.Name(2, p.now)
	p.run(10*time.Second, step, browse)
	for i, at := range p.sent {
		if at.Before(lowered) {
			continue
		}
		inWindow := 0
		for _, other := range p.sent[:i+1] {
			if at.Sub(other) < window {
				inWindow++
			}
		}
		if inWindow > allowed(2) {
			t.Fatalf("%d calls in the window of a call %v after the limit was lowered, want at most %d", inWindow, at.Sub(lowered), allowed(2))
		}
	}
	if most := p.most(lowered); most == 0 {
		t.Error("no call after the limit was lowered")
	}
}

// Guards against a limit that stays after it was lifted, and against all calls at once in
// that moment.
func TestLiftedLimitEndsGradually(t *testing.T) {
	p := newPlay()
	p.Name(10, p.now)
	p.run(5*time.Second, step, browse)
	p.now = p.now.Add(step)
	lifted := p.now
	p.Lift(p.now, p.now)
	p.run(time.Second, step, browse)
	if n := p.most(lifted); n > 40 {
		t.Errorf("%d calls in the first second after a limit of 10, want few more than before", n)
	}
	p.run(4*time.Second, step, browse)
	if before := len(p.sent); p.IsActive(p.now) || !p.offer(browse) || len(p.sent) != before+1 {
		t.Error("calls are still bounded 5 s after the limit was lifted")
	}
}

// Guards against a limit that an overtaken answer of an earlier call lifts.
func TestOvertakenAnswerDoesNotLiftTheLimit(t *testing.T) {
	p := newPlay()
	sent := p.now
	p.now = p.now.Add(time.Second)
	p.Name(10, p.now)
	p.Lift(sent, p.now.Add(step))
	if _, limited := p.Limit(); !limited {
		t.Error("the answer to a call that was sent before the limit was named lifted it")
	}
}

// Guards against a hint of another node that replaces what the upstream itself has said.
func TestHintOnlyServesUntilTheFirstAnswer(t *testing.T) {
	p := newPlay()
	p.Adopt(10, p.now)
	if _, limited := p.Limit(); !limited {
		t.Fatal("the hint is not in force")
	}
	p.now = p.now.Add(step)
	p.Lift(p.now, p.now)
	p.Adopt(10, p.now)
	if _, limited := p.Limit(); limited || p.IsActive(p.now) {
		t.Error("the hint is in force after an answer without a limit")
	}
}

// Guards against a limit that is named on and off and lets all calls through in between.
func TestLimitNamedOnAndOffKeepsCallsDown(t *testing.T) {
	const limit = 24
	p := newPlay()
	began := p.now
	for range 10 {
		p.Name(limit, p.now)
		p.run(time.Second, 16*time.Millisecond, browse)
		p.now = p.now.Add(step)
		p.Lift(p.now, p.now)
		p.run(time.Second, 16*time.Millisecond, browse)
	}
	if most := p.most(began.Add(time.Second)); most > allowed(limit) {
		t.Errorf("%d calls in a window, want at most %d", most, allowed(limit))
	}
}

// Guards against few calls that go to whoever asks most often.
func TestFewCallsGoToTheHighestPriority(t *testing.T) {
	for _, limit := range []float64{2, 10, 24} {
		p := newPlay()
		p.Name(limit, p.now)
		offered := 0
		interval := time.Duration(float64(time.Second) / (0.6 * limit))
		for next, end := p.now, p.now.Add(30*time.Second); p.now.Before(end); p.now = p.now.Add(step) {
			if !p.now.Before(next) {
				next = next.Add(interval)
				offered++
				p.offer(order)
			}
			p.offer(browse)
		}
		if share := float64(p.count[order]) / float64(offered); share < 0.85 {
			t.Errorf("limit %v: %d of %d orders were sent beside %d other calls, want at least 85%%", limit, p.count[order], offered, p.count[browse])
		}
		if least := int(0.8 * 30 * limit); len(p.sent) < least {
			t.Errorf("limit %v: %d calls in all, want at least %d", limit, len(p.sent), least)
		}
	}
}

// Guards against callers who are told to come back all at once, or never.
func TestRefusedCallersAreSpreadOut(t *testing.T) {
	p := newPlay()
	p.Name(2, p.now)
	p.offer(order)
	var last time.Duration
	for i := range 6 {
		retryAfter, allowed := p.Reserve(order, p.now)
		if allowed {
			t.Fatal("call is allowed beyond the limit")
		}
		if retryAfter < last || i < 4 && retryAfter == last || retryAfter > 5*time.Second {
			t.Errorf("refusal %d: come back after %v, the one before after %v", i, retryAfter, last)
		}
		last = retryAfter
	}
}

// Guards against more queued calls than may be sent.
func TestReservationsBoundTheCallsThatWait(t *testing.T) {
	p := newPlay()
	p.Name(10, p.now)
	p.now = p.now.Add(time.Second)
	waiting := 0
	for range 100 {
		if _, allowed := p.Reserve(order, p.now); allowed {
			waiting++
		}
		p.now = p.now.Add(100 * time.Millisecond)
	}
	if waiting == 0 || waiting > 4 {
		t.Errorf("%d calls wait at a limit of 10 a second, want no more than the bucket holds", waiting)
	}
	for range waiting {
		p.Cancel(p.now)
	}
	if !p.offer(order) {
		t.Error("the calls that were not sent still count")
	}
}

// Guards against a priority that alone exceeds the limit and keeps all others out.
func TestNoPriorityIsKeptOutEntirely(t *testing.T) {
	const limit = 10
	p := newPlay()
	p.Name(limit, p.now)
	for end := p.now.Add(30 * time.Second); p.now.Before(end); p.now = p.now.Add(step) {
		p.offer(order)
		p.offer(browse)
	}
	if p.count[browse] < len(p.sent)/8 || p.count[order] < 2*len(p.sent)/3 {
		t.Errorf("%d orders and %d other calls were sent, want most of them orders and at least an eighth others", p.count[order], p.count[browse])
	}
}
