package kqsoakcheck

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

const (
	// Lost is a call that was sent whole and whose connection ended without a whole
	// answer, or that was answered "unknown", with planned work only around it.
	Lost Kind = "LOST"
	// Twice is a call that is not idempotent and ran twice.
	Twice Kind = "TWICE"
	// Crossed is a call that got another one's answer.
	Crossed Kind = "CROSSED"
	// False is a call that was said not to have run, and did, before or later.
	False Kind = "FALSE"
	// Late is a call that began at an upstream long after its goodbye.
	Late Kind = "LATE"
	// Ended is a process that ended by itself, or not as it was told to.
	Ended Kind = "ENDED"
	// FellBack is a node that went back to an older version of the configuration.
	FellBack Kind = "FELL_BACK"
	// Exposed is a call that ran at a bad version though its badness had long shown.
	Exposed Kind = "EXPOSED"
	// Unrecovered is a fleet that does not answer calls after the last fault.
	Unrecovered Kind = "UNRECOVERED"

	// lateAfter is how long after its goodbye a call may still reach an upstream.
	lateAfter = 2 * time.Second
	// showsAfter is how many runs show a bad version's badness, half of whose answers
	// are failures, and exposedAfter how long it may be used from then on.
	showsAfter   = 20
	exposedAfter = 10 * time.Second
	// reunion is how long after the end of an unplanned fault its calls may be lost.
	reunion = 3 * time.Second
	// settles is how long after a call's end its runs are known: upstreams tell over
	// a pipe.
	settles = 300 * time.Millisecond

	// Any stands for every node, where a call's way is not known.
	Any = -1
)

type (
	// Kind names a violation.
	Kind string

	// Call is one call as its caller saw it.
	Call struct {
		Work       string        `json:"work"`
		Node       int           `json:"node"`
		Route      string        `json:"route"`
		Idempotent bool          `json:"idempotent"`
		Habit      string        `json:"habit"`
		Uses       int           `json:"uses"`
		Sent       time.Duration `json:"sent"`
		Ended      time.Duration `json:"ended"`
		// Allowed is the time after which the route lets a call be given up.
		Allowed time.Duration `json:"allowed"`
		// Whole tells that all of the request was written, Complete that all of an
		// answer was read.
		Whole    bool   `json:"whole"`
		Complete bool   `json:"complete"`
		Status   int    `json:"status,omitempty"`
		Result   string `json:"result,omitempty"`
		Reason   string `json:"reason,omitempty"`
		// Answers names the work whose answer it is, as its head and body tell.
		Answers []string `json:"answers,omitempty"`
		Error   string   `json:"error,omitempty"`
	}

	// Run is one run of a call, as its upstream told; Ended is 0 while it lasts.
	Run struct {
		Upstream string        `json:"upstream"`
		Node     int           `json:"node"`
		Began    time.Duration `json:"began"`
		Ended    time.Duration `json:"ended,omitempty"`
	}

	// Violation is what must not be, with the story of its call.
	Violation struct {
		Kind Kind          `json:"kind"`
		At   time.Duration `json:"at"`
		Text string        `json:"text"`
		Call *Call         `json:"call,omitempty"`
		Runs []Run         `json:"runs,omitempty"`
	}

	// Touch is an unplanned fault at a node or its upstream; To is 0 while it lasts.
	Touch struct {
		Node     int
		From, To time.Duration
	}

	// Tally counts calls by how they ended.
	Tally struct {
		Calls    int `json:"calls"`
		Answered int `json:"answered"`
		NotRun   int `json:"not_run"`
		Unknown  int `json:"unknown"`
		Cut      int `json:"cut"`
		// Excused were cut or unknown around unplanned faults, or out of time.
		Excused int `json:"excused"`
		Runs    int `json:"runs"`
		// Reasons counts what was not answered by its reason.
		Reasons map[string]int `json:"reasons"`
	}

	// Judge takes in what is seen and keeps what must not be. It is safe for
	// concurrent use.
	Judge struct {
		mu         sync.Mutex
		stories    map[string]*story
		goodbyes   map[string]time.Duration
		touches    []Touch
		bad        map[string]*showing
		pending    []*story
		tally      Tally
		ends       []end
		violations []Violation
	}

	story struct {
		call *Call
		runs []Run
		// fixed is known before the call's end: a run may come before its call's
		// other words do.
		idempotent bool
	}

	// showing is how often a bad version's upstream ran calls, and when it had shown.
	showing struct {
		runs  int
		shown time.Duration
	}

	end struct {
		sent     time.Duration
		answered bool
	}
)

// New returns a judge who has seen nothing.
func New() *Judge {
	return &Judge{
		stories: make(map[string]*story), goodbyes: make(map[string]time.Duration),
		bad: make(map[string]*showing), tally: Tally{Reasons: make(map[string]int)},
	}
}

// Sends notes that a call is about to be sent.
func (j *Judge) Sends(work string, idempotent bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stories[work] = &story{idempotent: idempotent}
}

// Began notes that an upstream began to run a call.
func (j *Judge) Began(work, upstream string, node int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s, ok := j.stories[work]
	if !ok {
		j.add(Crossed, at, fmt.Sprintf("%s ran %q, which nobody sent", upstream, work), &story{})
		return
	}
	j.tally.Runs++
	s.runs = append(s.runs, Run{Upstream: upstream, Node: node, Began: at})
	if len(s.runs) == 2 && !s.idempotent {
		j.add(Twice, at, work+" is not idempotent and ran twice", s)
	}
	if s.call != nil && s.call.refused() {
		j.add(False, at, work+" was said not to have run, and ran afterwards", s)
	}
	if b, ok := j.bad[upstream]; ok {
		j.expose(b, s, upstream, at)
	}
	if left, ok := j.goodbyes[upstream]; ok && at > left+lateAfter && !j.touched(node, left, at) {
		j.add(Late, at, fmt.Sprintf("%s began %v after the goodbye of %s", work, at-left, upstream), s)
	}
}

// Bad tells that an upstream is of a bad version.
func (j *Judge) Bad(upstream string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.bad[upstream] = &showing{}
}

// expose judges a run at a bad version's upstream.
func (j *Judge) expose(b *showing, s *story, upstream string, at time.Duration) {
	if b.runs++; b.runs == showsAfter {
		b.shown = at
	}
	if b.shown > 0 && at > b.shown+exposedAfter {
		j.add(Exposed, at, fmt.Sprintf("%s ran a call %v after its badness had shown", upstream, at-b.shown), s)
	}
}

// RunEnded notes that an upstream ended a run.
func (j *Judge) RunEnded(work, upstream string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s, ok := j.stories[work]; ok {
		for i := range s.runs {
			if r := &s.runs[i]; r.Upstream == upstream && r.Ended == 0 {
				r.Ended = at
				return
			}
		}
	}
}

// Goodbye notes that a node acknowledged an upstream's leaving.
func (j *Judge) Goodbye(upstream string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.goodbyes[upstream] = at
}

// Touch notes the beginning of an unplanned fault at a node and returns what notes
// its end.
func (j *Judge) Touch(node int, from time.Duration) func(to time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	at := len(j.touches)
	j.touches = append(j.touches, Touch{Node: node, From: from})
	return func(to time.Duration) {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.touches[at].To = to
	}
}

// Call notes how a call ended.
func (j *Judge) Call(c Call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stories[c.Work]
	if s == nil {
		s = &story{idempotent: c.Idempotent}
		j.stories[c.Work] = s
	}
	s.call = &c
	j.count(c)
	for _, other := range c.Answers {
		if other != c.Work {
			j.add(Crossed, c.Ended, fmt.Sprintf("%s got the answer to %q", c.Work, other), s)
		}
	}
	if c.refused() && len(s.runs) > 0 {
		j.add(False, c.Ended, c.Work+" was said not to have run, and had", s)
	}
	if c.lost() {
		j.pending = append(j.pending, s)
	}
}

// End notes that a process ended that was not told to, or not as it should.
func (j *Judge) End(name, status string, at time.Duration) {
	j.Add(Ended, at, name+" ended: "+status)
}

// Add notes what was found to be so already.
func (j *Judge) Add(k Kind, at time.Duration, text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.add(k, at, text, &story{})
}

// Settle judges the calls whose runs are known by now.
func (j *Judge) Settle(now time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	rest := j.pending[:0]
	for _, s := range j.pending {
		switch {
		case now < s.call.Ended+settles:
			rest = append(rest, s)
		case j.excused(s):
			j.tally.Excused++
		default:
			j.add(Lost, s.call.Ended, s.call.Work+" was sent whole and has no answer of its upstream's", s)
		}
	}
	j.pending = rest
}

// Recovered tells a violation unless the given share of calls sent within a span was
// answered.
func (j *Judge) Recovered(from, to time.Duration, least float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	all, answered := 0, 0
	for _, e := range j.ends {
		if e.sent >= from && e.sent < to {
			all++
			if e.answered {
				answered++
			}
		}
	}
	if float64(answered) < least*float64(all) || all == 0 {
		j.add(Unrecovered, to, fmt.Sprintf("%d of %d calls were answered that were sent from %v to %v", answered, all, from, to), &story{})
	}
}

// Violations returns what must not be, so far.
func (j *Judge) Violations() []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Violation(nil), j.violations...)
}

// Tally returns the counts so far.
func (j *Judge) Tally() Tally {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.tally
	t.Reasons = maps.Clone(t.Reasons)
	return t
}
