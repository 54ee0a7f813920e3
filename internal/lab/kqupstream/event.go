package kqupstream

import "time"

const (
	// HeaderWorkMS is the request header that sets how many milliseconds the call
	// takes, one minute at most, instead of Behaviour.Work. Behaviour.LongWork takes
	// precedence over it.
	HeaderWorkMS = "Work-Ms"

	// Listening is the event that the upstream starts to accept calls.
	Listening Kind = "listening"
	// Begun is the event that an execution of a call began.
	Begun Kind = "begin"
	// Ended is the event that an execution of a call ended.
	Ended Kind = "end"
	// DrainAcknowledged is the event that, after Run's context has ended, the node first
	// acknowledged that the upstream is draining. Drain emits no event.
	DrainAcknowledged Kind = "goodbye"

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
	}

	// Option configures an Upstream.
	Option func(*Upstream)
)

// WithEventHandler sets a function that receives each event. Begun is reported before the
// call's work begins, and Ended after it has ended and before the answer is sent. The
// function must be safe for concurrent use.
func WithEventHandler(f func(Event)) Option { return func(u *Upstream) { u.onEvent = f } }

// WithDrainPeriod sets how long an upstream keeps serving, and announces that it is
// draining, after Run's context has ended.
func WithDrainPeriod(d time.Duration) Option { return func(u *Upstream) { u.drainPeriod = d } }

func (u *Upstream) emit(k Kind, workID string) {
	u.onEvent(Event{Kind: k, WorkID: workID, At: time.Now()})
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
