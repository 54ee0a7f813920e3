package kqfair

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// RecordWait records a caller's call; prompt is set if its estimated wait is almost none.
// Only promptStreak such calls in a row show that the caller's calls no longer queue: when
// all callers' queues are kept short, each is sometimes empty by chance.
func (q *Queue) RecordWait(caller kqname.Caller, prompt bool, now time.Time) {
	f := &q.flows[q.assignFlow(caller, now)]
	f.streak++
	if !prompt {
		f.streak = 0
	}
	if f.streak >= promptStreak {
		f.prompt = now
	}
}

// Remove removes a waiting call and reports whether it was in the queue.
func (q *Queue) Remove(item *Item) bool {
	if !item.queued {
		return false
	}
	q.unlink(item)
	return true
}

// Oldest returns, of the calls at the head of each flow, the one that has waited longest, or
// nil if the queue is empty.
func (q *Queue) Oldest() *Item {
	var oldest *Item
	for _, n := range q.backlogged {
		if item := q.flows[n].head; oldest == nil || item.EnqueuedAt.Before(oldest.EnqueuedAt) {
			oldest = item
		}
	}
	return oldest
}

// SinceLastPrompt returns the time since the caller's calls last had almost no wait, or since
// it got its flow if they never had, whether or not it has sent calls since. It returns 0 if
// the caller owns no flow, for example because it shares another caller's.
func (q *Queue) SinceLastPrompt(caller kqname.Caller, now time.Time) time.Duration {
	f := &q.flows[q.flowIndex(caller)]
	if f.owner != caller {
		return 0
	}
	return now.Sub(f.prompt)
}

// WorkAhead returns the expected work that would be served before a call that the caller
// pushed now. This is the work of waiting calls and, for a caller with a backlog, of calls
// that callers with less queued work will send meanwhile and that are served first. Without
// the latter, a hot caller's calls would wait several times longer than expected, and be
// refused late instead of at once.
func (q *Queue) WorkAhead(caller kqname.Caller) time.Duration {
	if q.length == 0 {
		return 0
	}
	own := q.flowIndex(caller)
	f := &q.flows[own]
	finishTag := max(f.startTag, q.virtualTime) + f.queuedWork
	ahead, lighterWork := f.queuedWork, q.recent-f.recent
	for _, n := range q.backlogged {
		other := &q.flows[n]
		if n == own {
			continue
		}
		ahead += min(other.queuedWork, max(0, finishTag-other.startTag))
		if other.queuedWork >= f.queuedWork {
			lighterWork -= other.recent
		}
	}
	if f.queuedWork == 0 {
		return ahead
	}
	// Fair queueing bounds the wait: the flow is served in turn with all recently active
	// flows.
	fairBound := max(ahead, f.queuedWork*time.Duration(q.activeFlows+1))
	remainingShare := 1 - float64(lighterWork)/float64(max(q.recent, 1))
	if remainingShare <= 0 {
		return fairBound
	}
	return min(fairBound, time.Duration(float64(ahead)/remainingShare))
}

// flowIndex returns the index of the caller's flow, or of the one that it would be
// assigned: an idle one if there is any among those probed, else a shared one. The hash's
// top 9 bits (64-55) select one of the NumFlows flows.
func (q *Queue) flowIndex(caller kqname.Caller) int {
	first := int((xxhash.Sum64String(string(caller)) ^ q.salt) * 0x9e3779b97f4a7c15 >> 55)
	idle := -1
	for i := range maxProbes {
		n := (first + i) % NumFlows
		if q.flows[n].owner == caller {
			return n
		}
		if idle < 0 && q.flows[n].head == nil && q.flows[n].recent == 0 {
			idle = n
		}
	}
	if idle >= 0 {
		return idle
	}
	return first
}

// assignFlow returns the index of the caller's flow and makes the caller its owner, unless
// the flow has waiting calls of another caller: the two then share it.
func (q *Queue) assignFlow(caller kqname.Caller, now time.Time) int {
	n := q.flowIndex(caller)
	if f := &q.flows[n]; f.head == nil && f.owner != caller {
		f.owner, f.startTag, f.prompt = caller, 0, now
	}
	return n
}

// recordWork adds work given to the flow, and halves the recent work of all flows after
// every recentWindow calls.
func (q *Queue) recordWork(f *flow, work time.Duration) {
	if f.recent == 0 && work > 0 {
		q.activeFlows++
	}
	f.recent += work
	q.recent += work
	q.callsSinceHalving++
	if q.callsSinceHalving < recentWindow {
		return
	}
	q.callsSinceHalving, q.recent, q.activeFlows = 0, 0, 0
	for n := range q.flows {
		q.flows[n].recent = q.flows[n].recent / 2 / recentUnit * recentUnit
		q.recent += q.flows[n].recent
		if q.flows[n].recent > 0 {
			q.activeFlows++
		}
	}
}
