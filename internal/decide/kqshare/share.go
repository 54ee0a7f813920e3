package kqshare

import (
	"container/heap"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqfair"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// ranks counts the ranks of routes' classes.
	ranks = 3

	// recentWindow is the number of calls after which recent work is halved, as in kqfair.
	recentWindow = 256

	// recentUnit is the unit that recent work is rounded down to, so that flows of idle
	// workspaces are removed after some ten halvings.
	recentUnit = time.Millisecond

	// credit is the work by which a workspace that has been given less than its share may be
	// ahead when it has waiting calls again. With 87 workspaces on 18 slots, the share of one
	// is a call of 350 ms each 1.7 s: without credit, the second of two calls within that
	// time is late although the workspace asks for less than its share. Workspaces that asked
	// for 0.75 of their share got 0.79 to 0.84 of it in time without credit, 0.93 to 0.95
	// with it.
	credit = time.Second

	// promptStreak is the number of consecutive calls with almost no wait that show that a
	// workspace's calls no longer queue, as in kqfair.
	promptStreak = 8
)

type (
	// Queue holds waiting calls in one flow for each workspace. It is not safe for
	// concurrent use.
	Queue struct {
		// anonymous holds the calls without a workspace; its flow in flows is served as a
		// whole and has no list of its own.
		anonymous     *kqfair.Queue
		anonymousFlow *flow
		flows         map[kqname.Workspace]*flow
		// unused holds removed flows for reuse.
		unused     []*flow
		backlogged flowHeap
		// virtualTime is the highest start tag of the calls served.
		virtualTime time.Duration
		queuedWork  time.Duration
		length      int
		// sequence is that of the flow that became backlogged last.
		sequence uint64
		// recent is the work recently given to all flows, activeFlows how many were given
		// any, and callsSinceHalving the number of calls since recent work was halved.
		recent                         time.Duration
		activeFlows, callsSinceHalving int
	}

	// Key identifies whose call it is. Rank is that of the route's class and counts only
	// within a workspace; Caller counts only without one.
	Key struct {
		Workspace kqname.Workspace
		Caller    kqname.Caller
		Rank      int
	}

	// Item is one call in the queue.
	Item struct {
		kqfair.Item
		Key Key

		flow       *flow
		prev, next *Item
	}

	// flow holds the waiting calls of one workspace by rank, or stands for all calls
	// without one.
	flow struct {
		workspace  kqname.Workspace
		head, tail [ranks]*Item
		// queuedWork is the expected work of the waiting calls by rank; the anonymous flow
		// uses only the first.
		queuedWork [ranks]time.Duration
		// startTag is the start tag of the flow's next call.
		startTag time.Duration
		// sequence orders flows with the same start tag by when they became backlogged.
		sequence uint64
		// position is the flow's index in the heap, -1 without waiting calls.
		position int
		// prompt is when a call of the flow last ran at once or completed a streak of calls
		// with almost no wait, or when the flow was created.
		prompt time.Time
		streak int
		// recent is the work recently given to the flow.
		recent time.Duration
	}

	flowHeap []*flow
)

// New returns an empty queue with the salt for kqfair.
func New(salt uint64) *Queue {
	return &Queue{anonymous: kqfair.New(salt), anonymousFlow: &flow{position: -1}, flows: make(map[kqname.Workspace]*flow)}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return q.length }

// Work returns the expected work of all waiting calls.
func (q *Queue) Work() time.Duration { return q.queuedWork }

// Push appends a call to its workspace's flow.
func (q *Queue) Push(item *Item) {
	f := q.anonymousFlow
	if item.Key.Workspace == "" {
		item.Caller = item.Key.Caller
		q.anonymous.Push(&item.Item)
		f.queuedWork[0] = q.anonymous.Work()
	} else {
		f = q.flowFor(item.Key.Workspace, item.EnqueuedAt)
		f.append(item)
	}
	item.flow = f
	q.queuedWork += item.Work
	q.length++
	if f.position < 0 {
		f.startTag = max(f.startTag, q.virtualTime-credit)
		q.sequence++
		f.sequence = q.sequence
		heap.Push(&q.backlogged, f)
	}
}

// Oldest returns, among the calls that Pop chooses from, the one that has waited longest, or
// nil if the queue is empty.
func (q *Queue) Oldest() *kqfair.Item {
	if q.length == 0 {
		return nil
	}
	f := q.backlogged[0]
	if f == q.anonymousFlow {
		return q.anonymous.Oldest()
	}
	return &f.head[f.topRank()].Item
}

// Pop removes a call from the workspace with the lowest start tag: of its calls of the most
// important class the one pushed first, or the one pushed last if newest is set. It returns
// nil if the queue is empty.
func (q *Queue) Pop(newest bool) *kqfair.Item {
	if q.length == 0 {
		return nil
	}
	f := q.backlogged[0]
	q.virtualTime = max(q.virtualTime, f.startTag)
	var item *kqfair.Item
	if f == q.anonymousFlow {
		item = q.anonymous.Pop(newest)
		f.queuedWork[0] = q.anonymous.Work()
	} else {
		rank := f.topRank()
		chosen := f.head[rank]
		if newest {
			chosen = f.tail[rank]
		}
		f.unlink(chosen)
		item = &chosen.Item
	}
	f.startTag += item.Work
	q.recordWork(f, item.Work)
	q.removed(f, item.Work)
	return item
}

// Remove removes a waiting call and reports whether it was in the queue.
func (q *Queue) Remove(item *Item) bool {
	f := item.flow
	switch f {
	case nil:
		return false
	case q.anonymousFlow:
		if !q.anonymous.Remove(&item.Item) {
			return false
		}
		f.queuedWork[0] = q.anonymous.Work()
	default:
		f.unlink(item)
	}
	q.removed(f, item.Work)
	return true
}

// removed updates the queue after a call of the flow was removed.
func (q *Queue) removed(f *flow, work time.Duration) {
	q.queuedWork -= work
	q.length--
	if q.isBacklogged(f) {
		heap.Fix(&q.backlogged, f.position)
	} else {
		heap.Remove(&q.backlogged, f.position)
	}
}

func (q *Queue) isBacklogged(f *flow) bool {
	if f == q.anonymousFlow {
		return q.anonymous.Len() > 0
	}
	return f.topRank() < ranks
}

// topRank returns the rank of the most important waiting calls, or ranks if none wait.
func (f *flow) topRank() int {
	for rank, item := range f.head {
		if item != nil {
			return rank
		}
	}
	return ranks
}

func (f *flow) append(item *Item) {
	rank := item.Key.Rank
	item.prev, item.next = f.tail[rank], nil
	if item.prev == nil {
		f.head[rank] = item
	} else {
		item.prev.next = item
	}
	f.tail[rank] = item
	f.queuedWork[rank] += item.Work
}

func (f *flow) unlink(item *Item) {
	rank := item.Key.Rank
	if item.prev == nil {
		f.head[rank] = item.next
	} else {
		item.prev.next = item.next
	}
	if item.next == nil {
		f.tail[rank] = item.prev
	} else {
		item.next.prev = item.prev
	}
	item.prev, item.next, item.flow = nil, nil, nil
	f.queuedWork[rank] -= item.Work
}

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface: flows that have been given less work are served first.
func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	// The queue pushes flows only.
	f, _ := x.(*flow)
	f.position = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.position = -1
	return f
}
