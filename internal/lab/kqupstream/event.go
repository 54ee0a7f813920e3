package kqupstream

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// HeaderWorkMS is the request header that sets how many milliseconds the call
	// takes, one minute at most, instead of Behaviour.Work. Behaviour.LongWork takes
	// precedence over it.
	HeaderWorkMS = "Work-Ms"

	// HeaderCondition is the response header with the Condition of an upstream that announces
	// an instance. Nodes pass it on, unlike the headers that they read.
	HeaderCondition = "Work-Condition"

	// Listening is the event that the upstream starts to accept calls.
	Listening Kind = "listening"
	// Begun is the event that an execution of a call began.
	Begun Kind = "begin"
	// Ended is the event that an execution of a call ended.
	Ended Kind = "end"
	// Died is the event that the upstream ends under a call.
	Died Kind = "died"
	// DrainAcknowledged is the event that, after Run's context has ended, the node first
	// acknowledged that the upstream is draining. Drain emits no event.
	DrainAcknowledged Kind = "goodbye"

	// LimitNamed is the event that the upstream names a limit from now on.
	LimitNamed Kind = "limit"
	// LimitEnded is the event that the upstream names no limit from now on.
	LimitEnded Kind = "no_limit"

	maxWork = time.Minute
)

type (
	// Kind identifies a type of event.
	Kind string

	// Event is an event in the life cycle of an upstream. WorkID is set only
	// for executions of calls.
	Event struct {
		Kind   Kind      `json:"step"`
		WorkID string    `json:"work,omitempty"`
		At     time.Time `json:"at"`
		// Address is where a Listening upstream accepts calls, and Limit what LimitNamed
		// names, in calls a second.
		Address kqname.Address `json:"address,omitempty"`
		Limit   float64        `json:"limit,omitempty"`
	}

	// Condition is what an upstream says of itself in its answers. The lab sends it to
	// ConditionPath, and reads it from HeaderCondition as JSON.
	Condition struct {
		Upstream kqname.Instance `json:"upstream,omitempty"`
		Limited  bool            `json:"limited"`
		Limit    float64         `json:"limit"`
		Leaving  bool            `json:"leaving"`
	}

	// Option configures an Upstream.
	Option func(*Upstream)
)

// WithEventHandler sets a function that receives each event. Begun is reported before the
// call's work begins, and Ended after it has ended and before the answer is sent. The
// function must be safe for concurrent use.
func WithEventHandler(f func(Event)) Option { return func(u *Upstream) { u.onEvent = f } }

// WithListenAddress sets the address that the upstream listens on.
func WithListenAddress(a string) Option { return func(u *Upstream) { u.listen = a } }

// WithInstance makes the upstream announce an instance and when it started.
func WithInstance(i kqname.Instance) Option {
	return func(u *Upstream) {
		u.announcement.Instance, u.announcement.StartedMS = i, u.started.UnixMilli()
	}
}

// WithStatedColdStart makes the upstream announce its cold start.
func WithStatedColdStart() Option { return func(u *Upstream) { u.statesColdStart = true } }

// WithDrainPeriod sets how long an upstream keeps serving, and announces that it is
// draining, after Run's context has ended.
func WithDrainPeriod(d time.Duration) Option { return func(u *Upstream) { u.drainPeriod = d } }

func (u *Upstream) emit(k Kind, workID string) {
	u.onEvent(Event{Kind: k, WorkID: workID, At: time.Now()})
}

// serveCondition changes what the upstream says of itself to the Condition in the body.
func (u *Upstream) serveCondition(ctx *fasthttp.RequestCtx) {
	var c Condition
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		ctx.Error(err.Error(), http.StatusBadRequest)
		return
	}
	b := *u.behaviour.Load()
	b.Limited, b.Limit, b.Leaving = c.Limited, c.Limit, b.Leaving || c.Leaving
	kind := LimitEnded
	if c.Limited {
		kind = LimitNamed
	}
	u.onEvent(Event{Kind: kind, At: time.Now(), Limit: c.Limit})
	u.SetBehaviour(b)
}

// leave announces that the upstream is draining and repeats this until drainPeriod is
// over, since a node that starts in the meantime has not received the earlier
// announcements.
func (u *Upstream) leave() {
	u.draining.Store(true)
	end, acknowledged := time.Now().Add(u.drainPeriod), false
	for {
		if u.announce() && !acknowledged {
			acknowledged = true
			u.emit(DrainAcknowledged, "")
		}
		left := time.Until(end)
		if left <= 0 {
			return
		}
		time.Sleep(min(left, announceEvery))
	}
}
