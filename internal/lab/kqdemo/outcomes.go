package kqdemo

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
)

const (
	// smallShare is the most that a bad version may have of its service's calls
	// in a second: the small share of 5%, and as much again since the calls of
	// one second are few.
	smallShare    = 0.10
	afterBadness  = 2 * time.Second
	leavingWithin = 3 * time.Second
	forceWithin   = convergeWait
	shown         = 3
)

// tally is what the callers and the upstreams counted together.
type tally struct {
	calls Calls
	// reasons counts the calls that had no answer, by how and why.
	reasons map[string]int
	// liars ran although their caller was told not_run; phantoms were answered
	// and ran nowhere.
	liars, phantoms     []string
	posts, forged       int
	lost, crossed       []string
	dangling            int
	leaving, cutLeaving int
	// cutAway counts calls that a gate saw cut while no server was dying.
	cutAway            int
	inOutage, answered int
}

func (s *script) count() tally {
	t := tally{reasons: make(map[string]int)}
	for _, c := range s.callers {
		for _, r := range c.records {
			t.add(r, s.demo.ledger.times(r.work))
			if r.fate == unknown && r.reason == string(kqcall.Cut) && !slices.ContainsFunc(s.deaths, func(d deaths) bool { return d.around(r) }) {
				t.cutAway++
			}
			if !r.began.Before(s.outage.from) && r.began.Before(s.outage.to) {
				t.inOutage++
				if r.fate == answered {
					t.answered++
				}
			}
		}
	}
	return t
}

func (t *tally) add(r record, runs int) {
	t.calls.Total++
	switch r.fate {
	case answered:
		t.calls.Answered++
		if runs == 0 {
			t.phantoms = append(t.phantoms, r.work)
		}
	case notRun:
		t.calls.NotRun++
		t.reasons["not_run "+r.reason]++
		if runs > 0 {
			t.liars = append(t.liars, r.work+" "+r.reason)
		}
		if r.reason == string(kqcall.NoRoute) || r.reason == string(kqcall.NoConfig) {
			t.dangling++
		}
	case unknown:
		t.calls.Unknown++
		t.reasons["unknown "+r.reason]++
	case lost:
		t.calls.Lost++
		t.lost = append(t.lost, r.work+" "+r.reason)
	case crossed:
		t.calls.Crossed++
		t.crossed = append(t.crossed, r.work+" "+r.reason)
	}
	if !r.idempotent {
		t.posts++
		if runs > 1 {
			t.calls.Doubled++
		}
	}
	if r.forged {
		t.forged++
	}
	if r.leaving {
		t.leaving++
		if r.fate == lost {
			t.cutLeaving++
		}
	}
}

func (s *script) report() Report {
	t := s.count()
	seconds := s.ended.Sub(s.began).Seconds()
	w := s.demo.witness
	r := Report{
		Convergence:   spread(w.samples),
		ControlBytes:  perNode(s.control, len(s.demo.fleet.Servers()), seconds),
		PlatformCalls: float64(s.platform) / seconds,
		Calls:         t.calls,
		Rollouts:      s.rolloutReport(),
	}
	r.Outcomes = s.outcomes(t, r)
	return r
}

func (s *script) rolloutReport() Rollouts {
	var r Rollouts
	for _, f := range s.followed {
		if !f.dep.bad {
			r.Good++
			if f.onTime() {
				r.GoodOnTime++
			}
			continue
		}
		r.Bad++
		if f.state == kqboard.TakenBack {
			r.BadTakenBack++
		}
		r.BadShareMax = max(r.BadShareMax, s.demo.ledger.shareMax(f.dep.service, f.start, s.ended))
		detected := f.detected
		if detected.IsZero() {
			detected = f.start
		}
		r.BadAfterDetectionS = max(r.BadAfterDetectionS, s.demo.ledger.last(f.dep.service).Sub(detected).Seconds())
	}
	return r
}

func (s *script) outcomes(t tally, r Report) []Outcome {
	w := s.demo.witness
	roll := r.Rollouts
	return []Outcome{
		{
			"no_node_goes_back", len(w.reverted) == 0 && w.looks > 0,
			fmt.Sprintf("%d looks at nodes' newest routes and versions, %d went back%s", w.looks, len(w.reverted), some(w.reverted)),
		},
		{
			"no_route_without_its_service", t.dangling == 0,
			fmt.Sprintf("%d of %d calls met a missing route or resource", t.dangling, t.calls.Total),
		},
		{
			"no_bad_version_in_part", s.rogue.written && s.rogue.asked > 0 && len(s.rogue.applied) == 0,
			fmt.Sprintf("%d calls to a bad version's routes, %d nodes applied a part%s", s.rogue.asked, len(s.rogue.applied), some(s.rogue.applied)),
		},
		{
			"bad_upstreams_get_little_and_then_nothing",
			roll.Bad > 0 && roll.BadTakenBack == roll.Bad && roll.BadShareMax <= smallShare && roll.BadAfterDetectionS <= afterBadness.Seconds(),
			s.rolloutWords(),
		},
		{
			"whole_answer_to_the_own_request", t.calls.Lost+t.calls.Crossed+len(t.phantoms) == 0,
			fmt.Sprintf("%d answers, %d lost, %d crossed, %d answered without a run, %d calls with forged headers%s",
				t.calls.Answered, t.calls.Lost, t.calls.Crossed, len(t.phantoms), t.forged, some(slices.Concat(t.lost, t.crossed, t.phantoms))),
		},
		{
			"not_run_is_true", t.calls.NotRun > 0 && len(t.liars) == 0,
			fmt.Sprintf("%d told not_run, %d of them ran%s; without an answer: %v", t.calls.NotRun, len(t.liars), some(t.liars), words(t.reasons)),
		},
		{
			"non_idempotent_at_most_once", t.posts > 0 && t.calls.Doubled == 0,
			fmt.Sprintf("%d POSTs, %d ran twice", t.posts, t.calls.Doubled),
		},
		{
			"leaving_upstream_gets_no_new_work", !s.drained.at.IsZero() && s.drained.after() <= leavingWithin,
			fmt.Sprintf("%s began its last call %v after it was told to leave", s.drained.node, s.drained.after().Round(time.Millisecond)),
		},
		{
			"graceful_shutdown_cuts_nothing", t.leaving > 0 && t.cutLeaving == 0,
			fmt.Sprintf("%d calls in flight or new at a node that stopped, %d cut", t.leaving, t.cutLeaving),
		},
		{
			"accepted_configuration_everywhere",
			len(w.samples) > 0 && len(w.late) == 0 && r.Convergence.Max <= float64(forceWithin.Milliseconds()) && s.outage.refused && len(s.troubles) == 0,
			s.forceWords(t),
		},
	}
}

func (s *script) rolloutWords() string {
	parts := make([]string, 0, len(s.followed))
	for _, f := range s.followed {
		all, fresh := s.demo.ledger.between(f.dep.service, f.start, f.deadline)
		last := s.demo.ledger.last(f.dep.service)
		part := fmt.Sprintf("%s: %s", f.dep.rollout(), f.state)
		if !f.ended.IsZero() {
			part += fmt.Sprintf(" at %.1f s of %.0f s", f.ended.Sub(f.start).Seconds(), rolloutWindow.Seconds())
		}
		part += fmt.Sprintf(", %d of %d calls", fresh, all)
		if f.dep.bad && !f.detected.IsZero() {
			part += fmt.Sprintf(", noticed at %.1f s, last call %.2f s later", f.detected.Sub(f.start).Seconds(), last.Sub(f.detected).Seconds())
		}
		parts = append(parts, part+" ("+f.why+")")
	}
	return strings.Join(parts, "; ")
}

func (s *script) forceWords(t tally) string {
	w := s.demo.witness
	text := fmt.Sprintf("%d times on a node, %d too late%s; platform away for %.1f s: commit refused %v, %d of %d calls answered, replaced nodes current after%s; restarted nodes after%s",
		len(w.samples), len(w.late), some(w.late), s.outage.to.Sub(s.outage.from).Seconds(), s.outage.refused,
		t.answered, t.inOutage, seconds(s.replaced), seconds(s.restarted))
	if len(s.troubles) > 0 {
		text += "; troubles" + some(s.troubles)
	}
	return text
}

// some tells the first few of a list.
func some(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return ": " + strings.Join(list[:min(len(list), shown)], ", ")
}

func words(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return strings.Join(parts, ", ")
}

func seconds(list []time.Duration) string {
	text := ""
	for _, d := range list {
		text += fmt.Sprintf(" %.2f s", d.Seconds())
	}
	return text
}
