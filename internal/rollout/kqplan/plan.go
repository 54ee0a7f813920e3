package kqplan

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// defaultSmallShare is the default and the maximum of a policy's small share.
	defaultSmallShare = 0.05
	// maxColdStart bounds the time after an upstream's start in which its slowness is
	// attributed to the cold start, and coldWindowDivisor limits that time to a part of a
	// short window. Both apply only to an upstream that did not announce when its cold
	// start ends. Current upstreams are warm after 40 s; a version that is slow for longer
	// is slow.
	maxColdStart      = 45 * time.Second
	coldWindowDivisor = 3
	// maxOrderMargin leaves time for three calls to a store that takes 0.5 s for each;
	// orderMarginDivisor limits the margin of short ordered rollouts to a part of their
	// duration.
	maxOrderMargin     = 1500 * time.Millisecond
	orderMarginDivisor = 8
)

type (
	// ID identifies one plan by its name, service, versions, times or duration, and the
	// name of its policy. A rollout that is planned again under the same name with another
	// of these is another plan, so that the progress and evidence of the first do not count
	// for it. An ordered rollout has no fixed times: listed again under the same name with
	// the same duration, it has the same ID. Cancelling keeps the ID.
	ID string

	// Plan is one rollout of the document with its policy.
	Plan struct {
		ID         ID
		Name       kqname.Rollout
		Service    kqname.Service
		From, To   kqname.UpstreamVersion
		Start      time.Time
		Deadline   time.Time
		Policy     kqname.Policy
		Prefer     kqdocument.Preference
		SmallShare float64
		Cancelled  bool
		// Duration is the duration of an ordered rollout, or 0 for one with fixed times.
		// An ordered rollout has an empty From, and Begin sets its Start and Deadline.
		Duration time.Duration
	}
)

// FromService returns the plans of a service in the document's order.
func FromService(s kqresource.Service) []Plan {
	policies := make(map[kqname.Policy]kqdocument.Policy, len(s.Policies))
	for _, p := range s.Policies {
		policies[p.Name] = p
	}
	plans := make([]Plan, 0, len(s.Rollouts))
	for _, r := range s.Rollouts {
		plans = append(plans, newPlan(r, policies[r.Policy]))
	}
	return plans
}

// Window returns the time from the start to the deadline.
func (p Plan) Window() time.Duration { return p.Deadline.Sub(p.Start) }

// Begin returns an ordered plan with its start set to now; other plans are unchanged. The
// deadline is a margin before the end of the duration, since the store must accept the
// final state before that end and may be slow.
func (p Plan) Begin(now time.Time) Plan {
	if p.Duration > 0 {
		p.Start = now
		p.Deadline = now.Add(p.Duration - min(p.Duration/orderMarginDivisor, maxOrderMargin))
	}
	return p
}

// IsOld reports whether the rollout moves traffic away from the version. For an ordered
// rollout that is every version but To, also one that gets no traffic because it was rolled
// back; kqshare.Share.IsOld leaves such versions out.
func (p Plan) IsOld(v kqname.UpstreamVersion) bool {
	if p.From == "" {
		return v != p.To
	}
	return v == p.From
}

// ColdStart returns how long after an upstream's start its slowness is attributed to the
// cold start and not to its version, if the upstream did not announce the end (see WarmAt).
func (p Plan) ColdStart() time.Duration { return min(p.Window()/coldWindowDivisor, maxColdStart) }

// WarmAt returns the end of an upstream's cold start: warm, the time that the upstream
// announced, or ColdStart after its start if warm is zero.
func (p Plan) WarmAt(started, warm time.Time) time.Time {
	if !warm.IsZero() {
		return warm
	}
	return started.Add(p.ColdStart())
}

func newPlan(r kqdocument.Rollout, policy kqdocument.Policy) Plan {
	p := Plan{
		Name: r.Name, Service: r.Service, From: r.From, To: r.To, Start: r.Start, Deadline: r.Deadline,
		Policy: r.Policy, Prefer: policy.Prefer, SmallShare: policy.SmallShare, Cancelled: r.Cancelled,
		Duration: time.Duration(r.DurationMS) * time.Millisecond,
	}
	if p.SmallShare <= 0 || p.SmallShare > defaultSmallShare {
		p.SmallShare = defaultSmallShare
	}
	h := xxhash.New()
	fmt.Fprintf(h, "%q %q %q %q %d %d %q", r.Name, r.Service, r.From, r.To, r.Start.UnixNano(), r.Deadline.UnixNano(), r.Policy)
	if r.DurationMS > 0 {
		fmt.Fprintf(h, " %d", r.DurationMS)
	}
	p.ID = ID(string(r.Name) + "-" + hex.EncodeToString(h.Sum(nil)))
	return p
}
