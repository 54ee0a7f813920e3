package kqfair

import (
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// NumFlows is the number of flows that callers are hashed into.
	NumFlows = 512

	// maxProbes is how many flows are searched for the caller's own or an idle one.
	maxProbes = 8

	// recentWindow is the number of calls after which recent work is halved. It covers some
	// tens of calls for each of ten backlogged flows; with fewer, the shares fluctuate.
	recentWindow = 256

	// promptStreak is the number of consecutive calls with almost no wait that show that a
	// caller's calls no longer queue; fewer may occur by chance.
	promptStreak = 8

	// recentUnit is the unit that recent work is rounded down to, so that idle flows are
	// freed.
	recentUnit = time.Microsecond
)

type (
	// Queue holds waiting calls in one flow for each caller. It is not safe for concurrent
	// use.
	Queue struct {
		salt  uint64
		flows [NumFlows]flow
		// backlogged holds the indexes of the flows with waiting calls, in no order.
		backlogged []int
		// virtualTime is the start tag of the call served last: about how much work each
		// backlogged flow has been given.
		virtualTime time.Duration
		// queuedWork is the expected work of the waiting calls.
		queuedWork time.Duration
		length     int
		// recent is the work recently given to all flows.
		recent time.Duration
		// activeFlows is how many flows were recently given work.
		activeFlows int
		// callsSinceHalving is the number of calls since recent work was last halved.
		callsSinceHalving int
	}

	// Item is one call in the queue.
	Item struct {
		Caller kqname.Caller
		// Work is the call's expected time at the upstream.
		Work time.Duration
		// EnqueuedAt is when the call began to wait.
		EnqueuedAt time.Time
		// Value identifies the call to the queue's user. The queue does not read it.
		Value any

		flow       int
		queued     bool
		prev, next *Item
	}

	// flow holds the waiting calls of one caller, or of several if no flow was idle.
	flow struct {
		owner      kqname.Caller
		head, tail *Item
		// startTag is the start tag of the flow's next call: the sum of the previous call's
		// start tag and work, or the virtual time at which the flow last became backlogged
		// if that was later.
		startTag time.Duration
		// queuedWork is the expected work of the flow's waiting calls.
		queuedWork time.Duration
		// prompt is the time at which a call of the flow last ran at once or completed a
		// streak of promptStreak calls with almost no wait, or when the owner got the
		// flow.
		prompt time.Time
		// streak counts the latest consecutive calls with almost no wait.
		streak int
		// recent is the work recently given to the flow.
		recent time.Duration
	}
)

// New returns an empty queue. With different salts, callers whose hashes collide in one
// queue do not collide in all.
func New(salt uint64) *Queue { return &Queue{salt: salt} }

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return q.length }

// Work returns the expected work of all waiting calls.
func (q *Queue) Work() time.Duration { return q.queuedWork }

// Push appends a call to its caller's flow.
func (q *Queue) Push(item *Item) {
	item.flow, item.queued = q.assignFlow(item.Caller, item.EnqueuedAt), true
	f := &q.flows[item.flow]
	if f.head == nil {
		f.startTag = max(f.startTag, q.virtualTime)
		f.head = item
		q.backlogged = append(q.backlogged, item.flow)
	} else {
		f.tail.next, item.prev = item, f.tail
	}
	f.tail = item
	f.queuedWork += item.Work
	q.queuedWork += item.Work
	q.length++
}

// Pop removes a call from the flow with the lowest start tag: the call pushed first, or the
// one pushed last if newest is set. It returns nil if the queue is empty.
func (q *Queue) Pop(newest bool) *Item {
	if q.length == 0 {
		return nil
	}
	next := q.backlogged[0]
	for _, n := range q.backlogged[1:] {
		if q.flows[n].startTag < q.flows[next].startTag {
			next = n
		}
	}
	f := &q.flows[next]
	item := f.head
	if newest {
		item = f.tail
	}
	q.virtualTime = f.startTag
	f.startTag += item.Work
	q.recordWork(f, item.Work)
	q.unlink(item)
	return item
}

// RecordUnqueued counts the work of a call that was served without waiting, and records
// that its caller's calls do not queue.
func (q *Queue) RecordUnqueued(caller kqname.Caller, work time.Duration, now time.Time) {
	f := &q.flows[q.assignFlow(caller, now)]
	f.prompt = now
	q.recordWork(f, work)
}

func (q *Queue) unlink(item *Item) {
	f := &q.flows[item.flow]
	if item.prev == nil {
		f.head = item.next
	} else {
		item.prev.next = item.next
	}
	if item.next == nil {
		f.tail = item.prev
	} else {
		item.next.prev = item.prev
	}
	item.prev, item.next, item.queued = nil, nil, false
	f.queuedWork -= item.Work
	q.queuedWork -= item.Work
	q.length--
	if f.head == nil {
		q.removeBacklogged(item.flow)
	}
}

func (q *Queue) removeBacklogged(flowIndex int) {
	for i, n := range q.backlogged {
		if n == flowIndex {
			last := len(q.backlogged) - 1
			q.backlogged[i] = q.backlogged[last]
			q.backlogged = q.backlogged[:last]
			return
		}
	}
}
