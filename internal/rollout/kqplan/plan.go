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
	defaultSmallShare = 0.05
	// longestCold is how long an upstream's slowness is put down to its start,
	// and coldPart the part of a short window that may be spent on it. Today's
	// upstreams are warm after 40 s; a version that is slow for longer is slow.
	longestCold = 45 * time.Second
	coldPart    = 3
	// orderMargin is kept for three calls to a store that takes 0.5 s for each;
	// orderPart bounds it for short orders.
	orderMargin = 1500 * time.Millisecond
	orderPart   = 8
)

type (
	// ID names one plan: a rollout that is planned anew under the same name is
	// another plan, so that its predecessor's progress and evidence never
	// count for it. Cancelling keeps the ID.
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
		// Duration is the length of a rollout that was ordered by its length; From
		// is then empty, and Begin sets Start and Deadline.
		Duration time.Duration
	}
)

// Of returns the plans of a service in the document's order.
func Of(s kqresource.Service) []Plan {
	policies := make(map[kqname.Policy]kqdocument.Policy, len(s.Policies))
	for _, p := range s.Policies {
		policies[p.Name] = p
	}
	plans := make([]Plan, 0, len(s.Rollouts))
	for _, r := range s.Rollouts {
		plans = append(plans, plan(r, policies[r.Policy]))
	}
	return plans
}

// Window returns the time that the plan gives the rollout.
func (p Plan) Window() time.Duration { return p.Deadline.Sub(p.Start) }

// Begin returns an ordered plan as it runs from now on. It is to end before
// its time is up by a margin: the store has to take the final state in by then,
// and may be slow.
func (p Plan) Begin(now time.Time) Plan {
	if p.Duration > 0 {
		p.Start = now
		p.Deadline = now.Add(p.Duration - min(p.Duration/orderPart, orderMargin))
	}
	return p
}

// Old reports whether the version is one that the rollout moves traffic from.
func (p Plan) Old(v kqname.UpstreamVersion) bool {
	if p.From == "" {
		return v != p.To
	}
	return v == p.From
}

// Cold returns how long after an upstream's start its slowness is not held
// against its version.
func (p Plan) Cold() time.Duration { return min(p.Window()/coldPart, longestCold) }

// WarmAt returns until when an upstream's slowness is not held against its
// version: what it said itself, or Cold after its start.
func (p Plan) WarmAt(started, warm time.Time) time.Time {
	if !warm.IsZero() {
		return warm
	}
	return started.Add(p.Cold())
}

func plan(r kqdocument.Rollout, policy kqdocument.Policy) Plan {
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
