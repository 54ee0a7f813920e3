package kqdemo

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
)

const (
	// maxBadShare is the largest share of its service's calls that a bad version
	// may get in any second: twice the first rollout share of 5%, as one second
	// has too few calls for an exact share.
	maxBadShare = 0.10
	// maxBadAfterDetection is the longest time from the detection of a bad version
	// to the last call that it begins.
	maxBadAfterDetection = 2 * time.Second
	// maxDrainDelay is the longest time from a drain to the last call that the
	// upstream begins.
	maxDrainDelay  = 3 * time.Second
	maxConvergence = convergenceTimeout
	// maxExamples is the number of examples that an outcome lists.
	maxExamples = 3
)

// tally aggregates what the callers and the upstreams recorded.
type tally struct {
	calls Calls
	// reasons counts the not_run and unknown calls by result and reason.
	reasons map[string]int
	// falseNotRun lists calls that ran although the result was not_run;
	// answeredWithoutRun lists answered calls that no upstream ran.
	falseNotRun, answeredWithoutRun []string
	// posts counts the calls that are not idempotent, forged those with forged
	// headers.
	posts, forged int
	lost, crossed []string
	// missingRoute counts calls that were refused because a node found no route or
	// could not fetch the route's configuration in time.
	missingRoute int
	// stopping counts calls to the gracefully stopped node that ended after its stop
	// began, lostStopping those of them that were lost.
	stopping, lostStopping int
	// unexpectedCuts counts unknown calls with reason cut that overlapped no
	// killPeriod. Neither the report nor a check reads it.
	unexpectedCuts int
	// duringOutage counts calls that began during the platform outage, answered
	// those of them that were answered.
	duringOutage, answered int
}

func (s *script) tallyCalls() tally {
	t := tally{reasons: make(map[string]int)}
	for _, c := range s.callers {
		for _, r := range c.records {
			t.add(r, s.demo.runLog.runCount(r.workID))
			if r.callResult == unknown && r.reason == string(kqcall.Cut) && !slices.ContainsFunc(s.killPeriod, func(p killPeriod) bool { return p.overlaps(r) }) {
				t.unexpectedCuts++
			}
			if !r.began.Before(s.outage.from) && r.began.Before(s.outage.to) {
				t.duringOutage++
				if r.callResult == answered {
					t.answered++
				}
			}
		}
	}
	return t
}

func (t *tally) add(r record, runs int) {
	t.calls.Total++
	switch r.callResult {
	case answered:
		t.calls.Answered++
		if runs == 0 {
			t.answeredWithoutRun = append(t.answeredWithoutRun, r.workID)
		}
	case notRun:
		t.calls.NotRun++
		t.reasons["not_run "+r.reason]++
		if runs > 0 {
			t.falseNotRun = append(t.falseNotRun, r.workID+" "+r.reason)
		}
		if r.reason == string(kqcall.NoRoute) || r.reason == string(kqcall.NoConfig) {
			t.missingRoute++
		}
	case unknown:
		t.calls.Unknown++
		t.reasons["unknown "+r.reason]++
	case lost:
		t.calls.Lost++
		t.lost = append(t.lost, r.workID+" "+r.reason)
	case crossed:
		t.calls.Crossed++
		t.crossed = append(t.crossed, r.workID+" "+r.reason)
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
	if r.stopping {
		t.stopping++
		if r.callResult == lost {
			t.lostStopping++
		}
	}
}

func (s *script) report() Report {
	t := s.tallyCalls()
	seconds := s.ended.Sub(s.began).Seconds()
	m := s.demo.monitor
	r := Report{
		Convergence:   percentiles(m.convergenceTimes),
		ControlBytes:  byteRatePerNode(s.controlBytes, len(s.demo.fleet.Servers()), seconds),
		PlatformCalls: float64(s.platformCalls) / seconds,
		Calls:         t.calls,
		Rollouts:      s.rolloutReport(),
	}
	r.Outcomes = s.outcomes(t, r)
	return r
}

func (s *script) rolloutReport() Rollouts {
	var r Rollouts
	for _, o := range s.observedRollout {
		if !o.dep.bad {
			r.Good++
			if o.doneOnTime() {
				r.GoodOnTime++
			}
			continue
		}
		r.Bad++
		if o.state == kqtracker.FinalRollback {
			r.BadTakenBack++
		}
		r.BadShareMax = max(r.BadShareMax, s.demo.runLog.maxNewShare(o.dep.service, o.start, s.ended))
		detected := o.detected
		if detected.IsZero() {
			detected = o.start
		}
		r.BadAfterDetectionS = max(r.BadAfterDetectionS, s.demo.runLog.lastNewRun(o.dep.service).Sub(detected).Seconds())
	}
	return r
}

func (s *script) outcomes(t tally, r Report) []Outcome {
	m := s.demo.monitor
	roll := r.Rollouts
	return []Outcome{
		{
			"no_node_goes_back", len(m.regressions) == 0 && m.checks > 0,
			fmt.Sprintf("%d checks of nodes' newest routes and versions, %d regressions%s", m.checks, len(m.regressions), firstExamples(m.regressions)),
		},
		{
			// The missing resource is the configuration of a route, which a node could not
			// fetch in time.
			"no_route_without_its_service", t.missingRoute == 0,
			fmt.Sprintf("%d of %d calls failed for a missing route or resource", t.missingRoute, t.calls.Total),
		},
		{
			"no_bad_version_in_part", s.invalidVersion.written && s.invalidVersion.requests > 0 && len(s.invalidVersion.appliedBy) == 0,
			fmt.Sprintf("%d calls to the routes of an invalid configuration version, %d times one was answered or a node lost its routes%s", s.invalidVersion.requests, len(s.invalidVersion.appliedBy), firstExamples(s.invalidVersion.appliedBy)),
		},
		{
			"bad_upstreams_get_little_and_then_nothing",
			roll.Bad > 0 && roll.BadTakenBack == roll.Bad && roll.BadShareMax <= maxBadShare && roll.BadAfterDetectionS <= maxBadAfterDetection.Seconds(),
			s.describeRollouts(),
		},
		{
			"whole_answer_to_the_own_request", t.calls.Lost+t.calls.Crossed+len(t.answeredWithoutRun) == 0,
			fmt.Sprintf("%d answers, %d lost, %d crossed, %d answered without a run, %d calls with forged headers%s",
				t.calls.Answered, t.calls.Lost, t.calls.Crossed, len(t.answeredWithoutRun), t.forged, firstExamples(slices.Concat(t.lost, t.crossed, t.answeredWithoutRun))),
		},
		{
			"not_run_is_true", t.calls.NotRun > 0 && len(t.falseNotRun) == 0,
			fmt.Sprintf("%d reported as not_run, %d of them ran%s; without an answer: %v", t.calls.NotRun, len(t.falseNotRun), firstExamples(t.falseNotRun), formatCounts(t.reasons)),
		},
		{
			"non_idempotent_at_most_once", t.posts > 0 && t.calls.Doubled == 0,
			fmt.Sprintf("%d POSTs, %d ran twice", t.posts, t.calls.Doubled),
		},
		{
			"leaving_upstream_gets_no_new_work", !s.drainedUpstream.at.IsZero() && s.drainedUpstream.runDelay() <= maxDrainDelay,
			fmt.Sprintf("%s began its last call %v after its drain began", s.drainedUpstream.node, s.drainedUpstream.runDelay().Round(time.Millisecond)),
		},
		{
			"graceful_shutdown_cuts_nothing", t.stopping > 0 && t.lostStopping == 0,
			fmt.Sprintf("%d calls in flight or new at a node that stopped, %d lost", t.stopping, t.lostStopping),
		},
		{
			"accepted_configuration_everywhere",
			len(m.convergenceTimes) > 0 && len(m.overdue) == 0 && r.Convergence.Max <= float64(maxConvergence.Milliseconds()) && s.outage.commitFailed && len(s.problems) == 0,
			s.describeConvergence(t),
		},
	}
}

func (s *script) describeRollouts() string {
	parts := make([]string, 0, len(s.observedRollout))
	for _, o := range s.observedRollout {
		all, newRuns := s.demo.runLog.countBetween(o.dep.service, o.start, o.deadline)
		lastNewRun := s.demo.runLog.lastNewRun(o.dep.service)
		part := fmt.Sprintf("%s: %s", o.dep.rolloutName(), o.state)
		if !o.ended.IsZero() {
			part += fmt.Sprintf(" at %.1f s of %.0f s", o.ended.Sub(o.start).Seconds(), rolloutWindow.Seconds())
		}
		part += fmt.Sprintf(", %d of %d calls", newRuns, all)
		if o.dep.bad && !o.detected.IsZero() {
			part += fmt.Sprintf(", detected at %.1f s, last call %.2f s later", o.detected.Sub(o.start).Seconds(), lastNewRun.Sub(o.detected).Seconds())
		}
		parts = append(parts, part+" ("+o.reason+")")
	}
	return strings.Join(parts, "; ")
}

func (s *script) describeConvergence(t tally) string {
	m := s.demo.monitor
	text := fmt.Sprintf("%d convergence times, %d overdue%s; platform down for %.1f s: commit refused %v, %d of %d calls answered, replaced nodes current after%s; restarted nodes after%s",
		len(m.convergenceTimes), len(m.overdue), firstExamples(m.overdue), s.outage.to.Sub(s.outage.from).Seconds(), s.outage.commitFailed,
		t.answered, t.duringOutage, formatSeconds(s.startTimesInOutage), formatSeconds(s.startTimes))
	if len(s.problems) > 0 {
		text += "; problems" + firstExamples(s.problems)
	}
	return text
}

// firstExamples formats the first maxExamples entries of a list.
func firstExamples(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return ": " + strings.Join(list[:min(len(list), maxExamples)], ", ")
}

func formatCounts(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return strings.Join(parts, ", ")
}

func formatSeconds(list []time.Duration) string {
	text := ""
	for _, d := range list {
		text += fmt.Sprintf(" %.2f s", d.Seconds())
	}
	return text
}
