package kqfetch

import "time"

// slowFetch is the time from which a fetch is reported.
const slowFetch = 250 * time.Millisecond

// Timing tells where the time of a fetch went.
type Timing struct {
	// Wanted is the number of objects requested, and Err the error of the fetch.
	Wanted int
	Err    error
	// Took is the time of the whole fetch. Queued is the part of it that the fetch waited for
	// other reads of this node, Peers the part that it waited for peers, and Platform that for
	// the platform. BusyPeers counts the passes over the peers after which it waited because
	// some of them were busy.
	Took, Queued, Peers, Platform time.Duration
	BusyPeers                     int
}

// OnSlow sets the function that is called after each fetch of this node's own that was slow.
func (f *Fetcher) OnSlow(onSlow func(Timing)) { f.onSlow = onSlow }
