package kqshare

import (
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// RecordUnqueued counts the work of a call that was served without waiting, and records that
// its workspace's calls do not queue.
func (q *Queue) RecordUnqueued(key Key, work time.Duration, now time.Time) {
	f := q.anonymousFlow
	if key.Workspace == "" {
		q.anonymous.RecordUnqueued(key.Caller, work, now)
	} else {
		f = q.flowFor(key.Workspace, now)
		f.prompt = now
	}
	q.recordWork(f, work)
}

// RecordWait records a call; prompt is set if its estimated wait is almost none.
func (q *Queue) RecordWait(key Key, prompt bool, now time.Time) {
	if key.Workspace == "" {
		q.anonymous.RecordWait(key.Caller, prompt, now)
		return
	}
	f := q.flowFor(key.Workspace, now)
	f.streak++
	if !prompt {
		f.streak = 0
	}
	if f.streak >= promptStreak {
		f.prompt = now
	}
}

// SinceLastPrompt returns the time since the workspace's calls last had almost no wait, or
// since it got its flow if they never had. Without a workspace, that is the caller's.
func (q *Queue) SinceLastPrompt(key Key, now time.Time) time.Duration {
	if key.Workspace == "" {
		return q.anonymous.SinceLastPrompt(key.Caller, now)
	}
	if f := q.flows[key.Workspace]; f != nil {
		return now.Sub(f.prompt)
	}
	return 0
}

// WorkAhead returns the expected work that would be served before a call that is pushed now:
// waiting calls of its workspace that are as important, those of other workspaces in turn,
// and, if its workspace has a backlog, calls that workspaces with less queued work will send
// meanwhile.
func (q *Queue) WorkAhead(key Key) time.Duration {
	if q.length == 0 {
		return 0
	}
	own, ownWork, startTag, recent := q.anonymousFlow, time.Duration(0), time.Duration(0), time.Duration(0)
	if key.Workspace == "" {
		ownWork = q.anonymous.WorkAhead(key.Caller)
	} else if own = q.flows[key.Workspace]; own != nil {
		for rank := range key.Rank + 1 {
			ownWork += own.queuedWork[rank]
		}
	}
	if own != nil {
		startTag, recent = own.startTag, own.recent
	}
	if len(q.backlogged) == 0 || len(q.backlogged) == 1 && q.backlogged[0] == own {
		return ownWork
	}
	startTag = max(startTag, q.virtualTime-credit)
	finishTag := startTag + ownWork
	// A workspace that is served first has one call served at least.
	oneCall := q.queuedWork / time.Duration(q.length)
	ahead, lighterWork := ownWork, q.recent-recent
	for _, other := range q.backlogged {
		if other == own {
			continue
		}
		work := other.work()
		if other.startTag <= startTag {
			ahead += min(work, max(oneCall, finishTag-other.startTag))
		} else {
			ahead += min(work, max(0, finishTag-other.startTag))
		}
		if work >= ownWork {
			lighterWork -= other.recent
		}
	}
	if ownWork == 0 {
		return ahead
	}
	// Fair queueing bounds the wait: the flow is served in turn with all recently active
	// flows.
	fairBound := max(ahead, ownWork*time.Duration(q.activeFlows+1))
	remainingShare := 1 - float64(lighterWork)/float64(max(q.recent, 1))
	if remainingShare <= 0 {
		return fairBound
	}
	return min(fairBound, time.Duration(float64(ahead)/remainingShare))
}

// work returns the expected work of the flow's waiting calls.
func (f *flow) work() time.Duration { return f.queuedWork[0] + f.queuedWork[1] + f.queuedWork[2] }

// flowFor returns the workspace's flow, creating it if needed.
func (q *Queue) flowFor(w kqname.Workspace, now time.Time) *flow {
	if f := q.flows[w]; f != nil {
		return f
	}
	f := &flow{}
	if last := len(q.unused) - 1; last >= 0 {
		f, q.unused = q.unused[last], q.unused[:last]
	}
	*f = flow{workspace: w, position: -1, prompt: now}
	q.flows[w] = f
	return f
}

// recordWork adds work given to the flow. After every recentWindow calls it halves the recent
// work of all flows and removes the idle ones.
func (q *Queue) recordWork(f *flow, work time.Duration) {
	if f.recent == 0 && work > 0 {
		q.activeFlows++
	}
	f.recent += work
	q.recent += work
	if q.callsSinceHalving++; q.callsSinceHalving < recentWindow {
		return
	}
	q.callsSinceHalving, q.recent, q.activeFlows = 0, 0, 0
	q.halve(q.anonymousFlow)
	for name, one := range q.flows {
		q.halve(one)
		if one.recent == 0 && one.position < 0 && one != f {
			delete(q.flows, name)
			q.unused = append(q.unused, one)
		}
	}
}

func (q *Queue) halve(f *flow) {
	f.recent = f.recent / 2 / recentUnit * recentUnit
	q.recent += f.recent
	if f.recent > 0 {
		q.activeFlows++
	}
}
