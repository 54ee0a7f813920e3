package kqsuspicion

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Suspect says that a member has missed heartbeats and is asked to refute.
	Suspect Judgement = "suspect"
	// Dead says that a suspect has not refuted in time.
	Dead Judgement = "dead"

	// defaultMissed heartbeats make a suspect: at a loss of one in a hundred, a
	// healthy member is suspected once in a million heartbeats.
	defaultMissed = 3
	// defaultRefute is in heartbeats, and leaves time for the suspicion to
	// reach its subject over 5 links and for the refutation to come back.
	defaultRefute = 5
)

type (
	// Judgement is what a member is now held to be.
	Judgement string

	// Verdict is a judgement that is new.
	Verdict struct {
		Node      kqname.Node
		Judgement Judgement
	}

	// Detector remembers when members were last heard of.
	//
	// It answers the loss of servers, singly and by the domain. Without the step
	// of suspicion, one lost packet or one paused node would take a healthy
	// upstream out of service. Without the grace after a pause of its own, a
	// node that wakes, or whose clock jumps ahead, would hold everybody else to
	// be dead at once, and tell them so.
	Detector struct {
		every          time.Duration
		missed, refute int
		judged         time.Time
		heard          map[kqname.Node]time.Time
		suspected      map[kqname.Node]time.Time
	}
)

// New returns a detector for heartbeats that are sent at the given interval.
func New(every time.Duration) *Detector {
	return &Detector{
		every: every, missed: defaultMissed, refute: defaultRefute,
		heard: make(map[kqname.Node]time.Time), suspected: make(map[kqname.Node]time.Time),
	}
}

// Heard notes that a member has given a sign of life.
func (d *Detector) Heard(n kqname.Node, now time.Time) {
	if _, ok := d.heard[n]; ok {
		d.heard[n] = now
	}
}

// Watch sets which members are sent heartbeats, and so expected to answer.
func (d *Detector) Watch(nodes []kqname.Node, now time.Time) {
	for n := range d.heard {
		if !slices.Contains(nodes, n) {
			delete(d.heard, n)
		}
	}
	for _, n := range nodes {
		if _, ok := d.heard[n]; !ok {
			d.heard[n] = now
		}
	}
}

// Suspects sets which members anybody suspects; each has its time to refute
// from when this node first heard of it.
func (d *Detector) Suspects(nodes []kqname.Node, now time.Time) {
	for n := range d.suspected {
		if !slices.Contains(nodes, n) {
			delete(d.suspected, n)
		}
	}
	for _, n := range nodes {
		if _, ok := d.suspected[n]; !ok {
			d.suspected[n] = now
		}
	}
}

// Judge returns the new verdicts. It is called at every heartbeat; if it was
// not for longer than that, this node itself was away, and nobody is blamed.
func (d *Detector) Judge(now time.Time) []Verdict {
	if away := now.Sub(d.judged); !d.judged.IsZero() && (away > 2*d.every || away < 0) {
		d.excuse(away)
	}
	d.judged = now
	var verdicts []Verdict
	for n, at := range d.suspected {
		if now.Sub(at) > time.Duration(d.refute)*d.every {
			verdicts = append(verdicts, Verdict{n, Dead})
			delete(d.heard, n)
		}
	}
	for n, at := range d.heard {
		if _, already := d.suspected[n]; !already && now.Sub(at) > time.Duration(d.missed)*d.every {
			verdicts = append(verdicts, Verdict{n, Suspect})
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return cmp.Compare(a.Node, b.Node) })
	return verdicts
}

func (d *Detector) excuse(away time.Duration) {
	for n, at := range d.heard {
		d.heard[n] = at.Add(away)
	}
	for n, at := range d.suspected {
		d.suspected[n] = at.Add(away)
	}
}
