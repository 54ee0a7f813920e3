package kqupstream

import "time"

const (
	// HeaderWorkMS asks for a call that takes that many milliseconds instead of the
	// upstream's own time, a minute at most.
	HeaderWorkMS = "Work-Ms"

	// Listening tells that the upstream takes calls.
	Listening Step = "listening"
	// Begun tells that a call's run began.
	Begun Step = "begin"
	// Ended tells that it ended.
	Ended Step = "end"
	// Goodbye tells that the node has acknowledged that this upstream leaves.
	Goodbye Step = "goodbye"

	longestWork = time.Minute
)

type (
	// Step names what an Event tells.
	Step string

	// Event is what an upstream tells of its life; Work is empty but for runs.
	Event struct {
		Step Step      `json:"step"`
		Work string    `json:"work,omitempty"`
		At   time.Time `json:"at"`
	}

	// Option sets up an Upstream.
	Option func(*Upstream)
)

// WithTeller has tell told of each event, before the call's work begins and after it
// has ended. It must be safe for concurrent use.
func WithTeller(tell func(Event)) Option { return func(u *Upstream) { u.teller = tell } }

// WithServesOn sets how long a leaving upstream goes on serving once its node knows.
func WithServesOn(d time.Duration) Option { return func(u *Upstream) { u.servesOn = d } }

func (u *Upstream) tell(s Step, work string) { u.teller(Event{Step: s, Work: work, At: time.Now()}) }

// leave says goodbye, and goes on saying so while it serves on: a node that starts
// meanwhile has not heard it.
func (u *Upstream) leave() {
	u.draining.Store(true)
	end, known := time.Now().Add(u.servesOn), false
	for {
		if u.announce() && !known {
			known = true
			u.tell(Goodbye, "")
		}
		left := time.Until(end)
		if left <= 0 {
			return
		}
		time.Sleep(min(left, announceEvery))
	}
}
