package kqfetch

import (
	"context"
	"maps"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// reply is what one peer gave, and how long it is busy.
type reply struct {
	objects kqresource.Objects
	busy    time.Duration
}

// askEach asks the peers in turn until all is found, and returns the longest time
// that one of them is busy. A peer that does not answer soon is not waited for: the
// next one is asked beside it.
func (f *Fetcher) askEach(ctx context.Context, peers []kqname.Address, wanted []kqresource.Digest, found kqresource.Objects) time.Duration {
	var group conc.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, len(peers))
	asked, open := 0, 0
	var busy time.Duration
	for {
		if wanted = missing(wanted, found); len(wanted) == 0 || open == 0 && asked == len(peers) {
			return busy
		}
		if asked < len(peers) {
			to, lacking := peers[asked], wanted
			group.Go(func() {
				r := reply{objects: make(kqresource.Objects)}
				// Also where it panics: each peer that is asked is waited for.
				defer func() { replies <- r }()
				r.busy = f.ask(ctx, to, lacking, r.objects)
			})
			asked++
			open++
		}
		select {
		case r := <-replies:
			open--
			maps.Copy(found, r.objects)
			busy = max(busy, r.busy)
		case <-f.hedge(asked < len(peers)):
		}
	}
}

// hedge returns a channel that tells when to ask the next peer, if there is one.
func (f *Fetcher) hedge(more bool) <-chan time.Time {
	if !more {
		return nil
	}
	return time.After(hedgeAfter)
}

// ask takes from one peer what it has, and returns how long it is busy.
func (f *Fetcher) ask(ctx context.Context, to kqname.Address, wanted []kqresource.Digest, found kqresource.Objects) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for len(wanted) > 0 {
		a, err := kqpeer.Call[request, answer](ctx, f.client, to, methodObjects, request{Digests: wanted})
		if err != nil {
			return 0
		}
		if a.Busy > 0 {
			return time.Duration(a.Busy) * time.Millisecond
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
