package kqslots

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslowdown"
)

// minSlotShare is the inverse of the least share of the announced slots that a report bounds
// the running calls to: an upstream that reports too few slots keeps some of its calls.
const minSlotShare = 4

// Report records what the upstream says of its load and returns the tickets whose verdicts
// this changes. Reported slots count only if they are fewer than the announced ones; fewer
// than the upstream itself reports to be running are a contradiction, and the latter count.
// The numbers of running and waiting calls do not count otherwise, since this gate's own are
// more accurate.
func (s *Slots) Report(r kqcall.ServerReport, now time.Time) []*Ticket {
	s.slowdown.Report(r.Slowdown, now)
	if !r.HasLoad {
		return nil
	}
	before := s.allowed()
	s.reportedSlots, s.reportedAt = 0, now
	if slots := max(r.Slots, r.Running, s.announced/minSlotShare, 1); slots < s.announced {
		s.reportedSlots = slots
	}
	if s.allowed() <= before {
		return nil
	}
	return s.serve(now)
}

// allowed returns how many calls may run at once.
func (s *Slots) allowed() int {
	if s.reportedSlots > 0 {
		return min(s.limit.Allowed(), s.reportedSlots)
	}
	return s.limit.Allowed()
}

// expireReport ends the bound by reported slots once the report is not fresh any more.
func (s *Slots) expireReport(now time.Time) {
	if s.reportedSlots > 0 && now.Sub(s.reportedAt) >= kqslowdown.Period {
		s.reportedSlots = 0
	}
}
