package kqfair

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

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
