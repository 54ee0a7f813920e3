package kqfair

import (
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Lines is the number of lines that callers are hashed into.
	Lines = 512

	// probes is how many lines a caller looks at for one of its own.
	probes = 8

	// window is the number of calls after which what lines were lately given
	// counts half: some tens of calls for each of ten busy lines, below which
	// the shares waver.
	window = 256

	// calmStreak is how many calls in a row find nobody by more than chance.
	calmStreak = 8

	// least is what is not worth remembering, so that idle lines come free.
	least = time.Microsecond
)

type (
	// Queue holds waiting calls. It is not safe for concurrent use.
	Queue struct {
		salt  uint64
		lines [Lines]line
		// busy holds the numbers of the lines that have calls, in no order.
		busy []int
		// served is the start tag of the call that was served last: how much
		// work each busy line has been given.
		served time.Duration
		work   time.Duration
		length int
		// recent is the work that was lately given out, to all lines.
		recent time.Duration
		// active is how many lines were lately given any.
		active int
		notes  int
	}

	// Place is one call's place in the queue.
	Place struct {
		Caller kqname.Caller
		// Work is how long the upstream is expected to need for the call.
		Work time.Duration
		// Since is when the call began to wait.
		Since time.Time
		// Owner is whatever the place was taken for.
		Owner any

		line       int
		queued     bool
		prev, next *Place
	}

	line struct {
		owner      kqname.Caller
		head, tail *Place
		// start is the tag of the line's head: the work that had been given to
		// each line when it became the head.
		start time.Duration
		work  time.Duration
		// calm is when calls of the line last had next to nobody to wait for.
		calm time.Time
		// streak counts the calls in a row that had next to nobody to wait for.
		streak int
		// recent is the work that the line was lately given.
		recent time.Duration
	}
)

// New returns an empty queue; salt parts callers that another queue's hash
// brought together.
func New(salt uint64) *Queue { return &Queue{salt: salt} }

// Len returns the number of calls that wait.
func (q *Queue) Len() int { return q.length }

// Work returns the expected work of all calls that wait.
func (q *Queue) Work() time.Duration { return q.work }

// Push puts a call at the end of its caller's line.
func (q *Queue) Push(p *Place) {
	p.line, p.queued = q.claim(p.Caller, p.Since), true
	l := &q.lines[p.line]
	if l.head == nil {
		l.start = max(l.start, q.served)
		l.head = p
		q.busy = append(q.busy, p.line)
	} else {
		l.tail.next, p.prev = p, l.tail
	}
	l.tail = p
	l.work += p.Work
	q.work += p.Work
	q.length++
}

// Pop takes the next call out of the line that has been given the least work:
// its oldest call or, where newest is set, its newest. It returns nil when
// nobody waits.
func (q *Queue) Pop(newest bool) *Place {
	if q.length == 0 {
		return nil
	}
	next := q.busy[0]
	for _, n := range q.busy[1:] {
		if q.lines[n].start < q.lines[next].start {
			next = n
		}
	}
	l := &q.lines[next]
	p := l.head
	if newest {
		p = l.tail
	}
	q.served = l.start
	l.start += p.Work
	q.note(l, p.Work)
	q.unlink(p)
	return p
}

// Passed notes work of a caller that was served without waiting.
func (q *Queue) Passed(caller kqname.Caller, work time.Duration, now time.Time) {
	l := &q.lines[q.claim(caller, now)]
	l.calm = now
	q.note(l, work)
}

func (q *Queue) unlink(p *Place) {
	l := &q.lines[p.line]
	if p.prev == nil {
		l.head = p.next
	} else {
		p.prev.next = p.next
	}
	if p.next == nil {
		l.tail = p.prev
	} else {
		p.next.prev = p.prev
	}
	p.prev, p.next, p.queued = nil, nil, false
	l.work -= p.Work
	q.work -= p.Work
	q.length--
	if l.head == nil {
		q.retire(p.line)
	}
}

func (q *Queue) retire(number int) {
	for i, n := range q.busy {
		if n == number {
			last := len(q.busy) - 1
			q.busy[i] = q.busy[last]
			q.busy = q.busy[:last]
			return
		}
	}
}
