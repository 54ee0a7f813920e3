// Package kqfair orders the calls that wait at a gate so that each caller gets
// its share of the upstream.
//
// Load pattern: a hot caller, or many calls under one key. Without it, one
// first-come queue gives each caller a share of the upstream equal to its share
// of the arrivals: a caller that sends ten times its share makes every other
// caller wait behind its backlog. Here each caller has a line of its own and the
// lines take turns by the work that they have been given (start-time fair
// queueing), so that a backlog delays only the caller that built it. It is a
// share and not a rate: whoever is alone gets the whole upstream.
//
// Grounds for the figures: a queue has 512 lines, which bounds its memory to
// 50 KB; a decision looks at the busy ones only. A caller takes the first line
// that is its own or idle among 8 from its hash under the queue's salt, and
// shares its hash's line only where all 8 are taken. Hashed into fixed lines,
// some caller met the hot one's line at one of six gates and lost 7% of its calls.
package kqfair

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Lines is the number of lines that callers are hashed into.
	Lines = 512

	// probes is how many lines a caller looks at for one of its own.
	probes = 8

	// window is the number of calls after which what lines were lately given
	// counts half: some tens of calls for each of ten busy lines. With 64 the
	// shares waver, and twice as many of a hot caller's calls are given up late.
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

// Note takes in whether a call of the caller finds next to nobody to wait for.
// One alone means little: where all callers are held to short lines, each line
// is empty now and then.
func (q *Queue) Note(caller kqname.Caller, calm bool, now time.Time) {
	l := &q.lines[q.claim(caller, now)]
	l.streak++
	if !calm {
		l.streak = 0
	}
	if l.streak >= calmStreak {
		l.calm = now
	}
}

// Remove takes a call out that no longer waits and reports whether it did.
func (q *Queue) Remove(p *Place) bool {
	if !p.queued {
		return false
	}
	q.unlink(p)
	return true
}

// Oldest returns the call that has waited longest, nil where nobody waits.
func (q *Queue) Oldest() *Place {
	var oldest *Place
	for _, n := range q.busy {
		if p := q.lines[n].head; oldest == nil || p.Since.Before(oldest.Since) {
			oldest = p
		}
	}
	return oldest
}

// Standing returns for how long the caller's calls have had to wait.
func (q *Queue) Standing(caller kqname.Caller, now time.Time) time.Duration {
	l := &q.lines[q.number(caller)]
	if l.owner != caller {
		return 0
	}
	return now.Sub(l.calm)
}

// Ahead returns the expected work that will be served before a call that the
// caller pushed now: that of the calls which wait, and, for a caller with a
// backlog, that of the lighter callers who will come in the meantime and go
// first. Left out, the latter would make a hot caller's calls wait for several
// times what they were promised, and be given up late instead of refused at once.
func (q *Queue) Ahead(caller kqname.Caller) time.Duration {
	if q.length == 0 {
		return 0
	}
	own := q.number(caller)
	l := &q.lines[own]
	turn := max(l.start, q.served) + l.work
	ahead, lighter := l.work, q.recent-l.recent
	for _, n := range q.busy {
		other := &q.lines[n]
		if n == own {
			continue
		}
		ahead += min(other.work, max(0, turn-other.start))
		if other.work >= l.work {
			lighter -= other.recent
		}
	}
	if l.work == 0 {
		return ahead
	}
	// However many come, the line has its turn among all that were busy lately.
	turns := max(ahead, l.work*time.Duration(q.active+1))
	left := 1 - float64(lighter)/float64(max(q.recent, 1))
	if left <= 0 {
		return turns
	}
	return min(turns, time.Duration(float64(ahead)/left))
}

// number returns the caller's line, or the one that it would take.
func (q *Queue) number(caller kqname.Caller) int {
	first := int((xxhash.Sum64String(string(caller)) ^ q.salt) * 0x9e3779b97f4a7c15 >> 55)
	idle := -1
	for i := range probes {
		n := (first + i) % Lines
		if q.lines[n].owner == caller {
			return n
		}
		if idle < 0 && q.lines[n].head == nil && q.lines[n].recent == 0 {
			idle = n
		}
	}
	if idle >= 0 {
		return idle
	}
	return first
}

func (q *Queue) claim(caller kqname.Caller, now time.Time) int {
	n := q.number(caller)
	if l := &q.lines[n]; l.head == nil && l.owner != caller {
		l.owner, l.start, l.calm = caller, 0, now
	}
	return n
}

func (q *Queue) note(l *line, work time.Duration) {
	if l.recent == 0 && work > 0 {
		q.active++
	}
	l.recent += work
	q.recent += work
	q.notes++
	if q.notes < window {
		return
	}
	q.notes, q.recent, q.active = 0, 0, 0
	for n := range q.lines {
		q.lines[n].recent = q.lines[n].recent / 2 / least * least
		q.recent += q.lines[n].recent
		if q.lines[n].recent > 0 {
			q.active++
		}
	}
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
