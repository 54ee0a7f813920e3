package kqfetch

import (
	"context"
	"maps"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// reply holds the objects that one peer returned, or the delay after which a busy
// peer may be called again.
type reply struct {
	objects    kqresource.Objects
	retryAfter time.Duration
}

// fetchFromPeers calls the peers in turn until all objects are found or all calls have
// ended. It returns the longest retry delay that a busy peer stated, or 0 if none was
// busy. If a peer does not answer within hedgeDelay, a hedged call to the next one is
// started.
func (f *Fetcher) fetchFromPeers(ctx context.Context, peers []kqname.Address, wanted []kqresource.Digest, found kqresource.Objects) time.Duration {
	var group conc.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, len(peers))
	started, inFlight := 0, 0
	var retryAfter time.Duration
	for {
		if wanted = missing(wanted, found); len(wanted) == 0 || inFlight == 0 && started == len(peers) {
			return retryAfter
		}
		if started < len(peers) {
			to, lacking := peers[started], wanted
			group.Go(func() {
				r := reply{objects: make(kqresource.Objects)}
				// Deferred to run even after a panic, since the loop waits for
				// every call that it started.
				defer func() { replies <- r }()
				r.retryAfter = f.fetchFromPeer(ctx, to, lacking, r.objects)
			})
			started++
			inFlight++
		}
		select {
		case r := <-replies:
			inFlight--
			maps.Copy(found, r.objects)
			retryAfter = max(retryAfter, r.retryAfter)
		case <-f.hedgeTimer(started < len(peers)):
		}
	}
}

// hedgeTimer returns a channel that fires when the next peer is to be called, or
// nil if there is none.
func (f *Fetcher) hedgeTimer(more bool) <-chan time.Time {
	if !more {
		return nil
	}
	return time.After(hedgeDelay)
}

// fetchFromPeer requests objects from a peer and adds those that it returns to found. It
// returns the retry delay if the peer is busy, and 0 otherwise, also if the call fails.
func (f *Fetcher) fetchFromPeer(ctx context.Context, to kqname.Address, wanted []kqresource.Digest, found kqresource.Objects) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for len(wanted) > 0 {
		a, err := kqrpc.Call[request, answer](ctx, f.client, to, methodObjects, request{Digests: wanted})
		if err != nil {
			return 0
		}
		if a.RetryAfterMS > 0 {
			return time.Duration(a.RetryAfterMS) * time.Millisecond
		}
		before := len(wanted)
		for _, data := range a.Objects {
			found[kqresource.DigestOf(data)] = data
		}
		if wanted = missing(wanted, found); len(wanted) == before {
			return 0
		}
	}
	return 0
}
