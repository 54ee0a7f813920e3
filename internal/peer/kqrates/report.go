package kqrates

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqadmission"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// limitedUntil is for how long after its last refused call a workspace counts as limited, so that
// one at the edge of its rate does not start and stop being limited twice a second.
const limitedUntil = 5 * time.Second

// batch is a report to one coordinator and the shards that it is about.
type batch struct {
	to     kqmember.Member
	report Report
	shards []*shard
	sent   time.Time
}

// batches returns the reports that are due, one for each coordinator.
func (r *Rates) batches(known int, now time.Time) []*batch {
	var list []*batch
	byNode := make(map[kqname.Node]*batch)
	for _, s := range r.shards {
		if s.inFlight || now.Before(s.next) {
			continue
		}
		to := r.fleet.coordinator(len(r.shards), s.index, now)
		b, ok := byNode[to.Node]
		if !ok {
			b = &batch{to: to, report: Report{Known: known, ShardCount: len(r.shards)}, sent: now}
			byNode[to.Node] = b
			list = append(list, b)
		}
		s.inFlight, s.next, s.sentAt = true, r.nextReport(now), now
		b.shards = append(b.shards, s)
		b.report.Shards = append(b.report.Shards, s.report(now))
	}
	return list
}

// nextReport returns the end of the current period in this node's phase.
func (r *Rates) nextReport(now time.Time) time.Time {
	passed := (now.Sub(r.started) + r.phase) % reportPeriod
	return now.Add(reportPeriod - passed)
}

// report returns the shard's report. The counts of a node that has had no answer for long were
// admitted by its own portion, which it did not lend.
func (s *shard) report(now time.Time) ShardReport {
	m := ShardReport{Index: s.index}
	if s.link.Basis(now) != kqadmission.ByPortion {
		m.CoveredMS = now.Sub(s.link.AnsweredAt).Milliseconds()
	}
	for hash, e := range s.entries {
		if arrived, admitted := e.admission.Counts(); arrived != 0 || admitted != 0 {
			m.Workspaces = append(m.Workspaces, hash)
			m.Counts = append(m.Counts, arrived, admitted)
		}
	}
	return m
}

func (r *Rates) send(b *batch, now time.Time) {
	if b.to.Node == r.config.Table.Self().Node {
		a, err := r.Answer(b.to.Node, b.report, now)
		r.finish(b, a, err, now)
		return
	}
	r.config.Transport.Send(b.to, b.report, func(a Answer, err error) {
		r.finish(b, a, err, time.Time{})
	})
}

// finish records the answer to a report or its failure. now is zero if the answer came later
// than the report was sent; then only the time of sending counts.
func (r *Rates) finish(b *batch, a Answer, err error, now time.Time) {
	if now.IsZero() {
		now = b.sent
	}
	if err != nil || a.StartingMS > 0 {
		r.fail(b, time.Duration(min(max(a.StartingMS, 0), startTime.Milliseconds()))*time.Millisecond)
		return
	}
	answers := make(map[int]ShardAnswer, len(a.Shards))
	for _, one := range a.Shards {
		answers[one.Index] = one
	}
	var changes []LimitChange
	r.mu.Lock()
	for i, s := range b.shards {
		s.inFlight, s.failures = false, 0
		a := answers[s.index]
		if s.link.Basis(b.sent) != kqadmission.ByPortion || !a.Learning {
			s.link.AnsweredAt, s.link.Failing = b.sent, a.Learning
		}
		changes = append(changes, r.apply(s, b.report.Shards[i], a, now)...)
	}
	r.mu.Unlock()
	r.notify(changes, now)
}

// apply applies the answer to a shard's report.
func (r *Rates) apply(s *shard, reported ShardReport, a ShardAnswer, now time.Time) []LimitChange {
	named, counts := a.answers(), reported.counts()
	for hash := range named {
		if w, ok := r.index.find(hash); ok {
			s.entry(hash, w, now)
		}
	}
	covered := time.Duration(reported.CoveredMS) * time.Millisecond
	var changes []LimitChange
	for hash, e := range s.entries {
		if a.Learning {
			e.admission.Reported(counts[hash].Arrived, counts[hash].Admitted)
			continue
		}
		x, isNamed := named[hash]
		if !isNamed {
			x = kqadmission.Answer{Share: 1}
		}
		e.admission.Answered(x, counts[hash].Arrived, counts[hash].Admitted, covered)
		if isNamed {
			e.refusedAt = now
		}
		limited := isNamed || e.limited && now.Sub(e.refusedAt) < limitedUntil
		if limited != e.limited {
			e.limited = limited
			changes = append(changes, LimitChange{Workspace: e.name, Limited: limited, Limit: e.limit, Share: x.Share})
		}
		if !limited && e.admission.IsIdle(e.limit, now) {
			delete(s.entries, hash)
		}
	}
	for _, hash := range a.Unknown {
		if e, ok := s.entries[hash]; ok {
			e.admission.SetUnknown()
		}
	}
	return changes
}

// fail records that a report was not answered. After maxFailures the next coordinator gets the
// counts at once. starting is for how long the coordinator does not coordinate yet, if it said so.
func (r *Rates) fail(b *batch, starting time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range b.shards {
		s.inFlight, s.link.Failing = false, true
		s.failures++
		s.next = b.sent.Add(retryPause)
		switch {
		case starting > 0:
			s.failures = 0
			r.fleet.avoid(b.to.Node, b.sent.Add(starting))
		case s.failures >= maxFailures:
			s.failures, s.next = 0, b.sent
			r.fleet.avoid(b.to.Node, b.sent.Add(avoidTime))
		}
		for _, e := range s.entries {
			e.admission.Failed()
		}
	}
}
