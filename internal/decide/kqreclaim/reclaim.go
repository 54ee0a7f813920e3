package kqreclaim

import (
	"slices"
	"time"
)

const (
	// Idle is the state of a client that may send a request and has not begun one.
	Idle State = iota
	// Receiving is the state of a client whose request has arrived in part.
	Receiving
	// Serving is the state of a client whose request is being processed.
	Serving
	// Sending is the state of a client that a part of a response is being sent to.
	Sending
	// Reclaimed is the state of a client that gives way.
	Reclaimed

	// StallAfter is how long a client must have made no progress to be stalled. A packet that was
	// lost twice arrives within that time.
	StallAfter = time.Second
	// Batch is the largest number of connections that are closed at once to make room for others:
	// a crowd that connects does not require a look at all clients for each new connection.
	Batch = 16
)

type (
	// State is what a client is doing.
	State int32

	// Candidate is a client that may have to give way.
	Candidate[K any] struct {
		Client K
		State  State
		// Held is the memory in bytes that is free once the client has given way, beside what its
		// connection takes.
		Held int
		// Since is when the client last made progress.
		Since time.Time
	}
)

// String returns the state's name in metrics and logs.
func (s State) String() string {
	switch s {
	case Idle:
		return "idle"
	case Receiving:
		return "receiving"
	case Serving:
		return "serving"
	case Sending:
		return "sending"
	default:
		return "reclaimed"
	}
}

// ForConnections returns the clients, at most Batch, whose connections are closed so that others can
// connect: idle ones, and without any, stalled ones. Those that made progress last come last. Clients
// that have just connected, or have just got a response, are not chosen, since their next request may
// be on its way. It changes the order of the list.
func ForConnections[K any](list []Candidate[K], now time.Time) []Candidate[K] {
	fits := func(c Candidate[K]) bool { return c.State == Idle && now.Sub(c.Since) >= StallAfter }
	if !slices.ContainsFunc(list, fits) {
		fits = func(c Candidate[K]) bool { return c.isStalled(now) }
	}
	chosen := slices.DeleteFunc(list, func(c Candidate[K]) bool { return !fits(c) })
	sortByProgress(chosen)
	return chosen[:min(len(chosen), Batch)]
}

// ForMemory returns the stalled clients that give way to free the given number of bytes, those first
// that have been stalled for longest. It returns none if they do not hold as much. It changes the
// order of the list.
func ForMemory[K any](list []Candidate[K], need int, now time.Time) []Candidate[K] {
	chosen := slices.DeleteFunc(list, func(c Candidate[K]) bool { return c.Held == 0 || !c.isStalled(now) })
	sortByProgress(chosen)
	for i, c := range chosen {
		if need -= c.Held; need <= 0 {
			return chosen[:i+1]
		}
	}
	return nil
}

// ForTimeout returns the clients that have left a response unread for the timeout.
func ForTimeout[K any](list []Candidate[K], timeout time.Duration, now time.Time) []Candidate[K] {
	return slices.DeleteFunc(list, func(c Candidate[K]) bool {
		return c.State != Sending || now.Sub(c.Since) < timeout
	})
}

// isStalled reports whether progress is the client's turn, and it has made none for StallAfter.
func (c Candidate[K]) isStalled(now time.Time) bool {
	return (c.State == Receiving || c.State == Sending) && now.Sub(c.Since) >= StallAfter
}

func sortByProgress[K any](list []Candidate[K]) {
	slices.SortFunc(list, func(a, b Candidate[K]) int { return a.Since.Compare(b.Since) })
}
