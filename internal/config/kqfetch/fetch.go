package kqfetch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/kumquatgw/kumquatgw/internal/base/kqpause"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodObjects = "c.o"

	peerTimeout = 2 * time.Second
	// hedgeAfter is how long one peer is waited for before the next is asked beside
	// it, and ownerTimeout how long a reader waits for the other readers before it
	// reads itself. A peer that is cut off is not known to be for some seconds: asked
	// one after the other, two of them would keep a node on an old version for twice
	// peerTimeout. An answer takes 2 to 200 ms, the longest over a link of 10 Mbit/s.
	hedgeAfter   = 250 * time.Millisecond
	ownerTimeout = 500 * time.Millisecond
	readTimeout  = 5 * time.Second
	// passes is how often the list of peers is gone through while some of them
	// are busy, before the platform is asked.
	passes = 3
	// answerBytes bounds the objects of one answer; the rest is asked for again.
	answerBytes = 256 << 10
	// readerBurst and burst are how many objects a reader and any other node may
	// take from the platform at once.
	readerBurst = 32
	burst       = 4
	// assumedReaders is the number of readers that a reader reckons with until
	// it knows more: after a herd has restarted, none knows any other, and each
	// would otherwise take the whole rate for itself.
	assumedReaders = 8
	// recent is how many objects that were just read from the platform are kept
	// for others who are about to ask, until the replica holds them.
	recent = 32
	// peersOfService is how many peers beside the readers are asked.
	peersOfService = 2
)

var (
	// errMissing tells that nobody asked had an object.
	errMissing = errors.New("object is nowhere to be had")
	// errPanicked tells that a fault in this program ended a reading.
	errPanicked = errors.New("reading panicked")
)

type (
	// Platform reads objects from the platform's service.
	Platform interface {
		Fetch(ctx context.Context, wanted []kqresource.Digest) (kqresource.Objects, error)
	}

	// Held gives the objects and the hosts that this node holds.
	Held interface {
		Object(d kqresource.Digest) ([]byte, bool)
		Hosts() []kqname.Host
	}

	// Maker gives objects that this node has made itself of what it read from the
	// platform. It makes no calls.
	Maker interface {
		Made(wanted []kqresource.Digest) kqresource.Objects
	}

	// Budget says how long bulk must wait; 0 sends it now.
	Budget interface {
		Allow(now time.Time) time.Duration
	}

	// Fetcher brings objects. It is safe for concurrent use.
	//
	// The platform's rate is bounded for the fleet and not for a node: readers
	// share out half of the rate by their number, all others the other half by
	// the number of members, so that neither a storm of new nodes nor a growing
	// fleet can go over it.
	Fetcher struct {
		client   *kqpeer.Client
		table    *kqmember.Table
		platform Platform
		budget   Budget
		total    float64
		expected int
		limiter  *rate.Limiter
		// maker is set where the platform brings all objects of a version in one call.
		maker Maker

		mu   sync.Mutex
		held Held
		// reading is the reading of all objects that is under way.
		reading *flight
		flights map[kqresource.Digest]*flight
		recent  map[kqresource.Digest][]byte
		order   []kqresource.Digest
	}

	// flight is a fetch that others wait for too.
	flight struct {
		done chan struct{}
		data []byte
		err  error
	}

	request struct {
		Digests []kqresource.Digest `cbor:"1,keyasint"`
	}

	answer struct {
		// Objects are found ones; their digests name them.
		Objects [][]byte `cbor:"1,keyasint"`
		// Busy is how long to stay away, in milliseconds; nothing else is set.
		Busy int64 `cbor:"2,keyasint,omitempty"`
	}
)

// New returns a fetcher that answers on server. The platform is read at most
// perSecond times a second by the whole fleet, which is taken to have expected
// nodes until more are known.
func New(server *kqpeer.Server, client *kqpeer.Client, table *kqmember.Table, platform Platform, budget Budget, perSecond, expected int) *Fetcher {
	f := &Fetcher{
		client: client, table: table, platform: platform, budget: budget,
		total: float64(perSecond), expected: expected,
		limiter: rate.NewLimiter(1, burst), flights: make(map[kqresource.Digest]*flight),
		recent: make(map[kqresource.Digest][]byte),
	}
	kqpeer.Handle(server, methodObjects, f.answer)
	kqpeer.Handle(server, methodHosts, f.answerHosts)
	return f
}

// TakeWhole tells that the platform brings all objects of a version in one call, so
// that a node which finds them nowhere else need not ask for each object apart. What
// the maker has is neither asked for nor counted against the platform's rate: a node
// that reads versions for others would otherwise use up its rate on objects which it
// holds, and stay on an old version for seconds while it hands out newer ones.
func (f *Fetcher) TakeWhole(m Maker) { f.maker = m }

// Serve sets what is given to peers.
func (f *Fetcher) Serve(h Held) { f.held = h }

// Fetch returns the objects, all of them, or an error.
func (f *Fetcher) Fetch(ctx context.Context, wanted []kqresource.Digest) (kqresource.Objects, error) {
	found := f.made(wanted)
	if wanted = missing(wanted, found); len(wanted) == 0 {
		return found, nil
	}
	self := f.table.Self()
	if self.Reader {
		return found, f.fetchAsReader(ctx, self.Node, wanted, found)
	}
	for pass := range passes {
		wait := f.askEach(ctx, f.peers(self), wanted, found)
		if wanted = missing(wanted, found); len(wanted) == 0 {
			return found, nil
		}
		if wait == 0 || pass == passes-1 {
			break
		}
		kqpause.For(ctx, rand.N(wait)+time.Millisecond)
	}
	return found, f.fromPlatform(ctx, missing(wanted, found), found)
}

// fetchAsReader asks the reader that owns each object, by a hash of both, so
// that all readers together take each object from the platform about once.
func (f *Fetcher) fetchAsReader(ctx context.Context, self kqname.Node, wanted []kqresource.Digest, found kqresource.Objects) error {
	readers := f.readers()
	owned := make(map[kqname.Address][]kqresource.Digest)
	for _, d := range wanted {
		owner := kqmember.Member{Node: self}
		var best uint64
		for _, m := range readers {
			if h := xxhash.Sum64String(string(m.Node) + string(d[:])); h >= best {
				owner, best = m, h
			}
		}
		if owner.Node != self {
			owned[owner.Control] = append(owned[owner.Control], d)
		}
	}
	var group conc.WaitGroup
	var mu sync.Mutex
	for to, digests := range owned {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
			defer cancel()
			part := make(kqresource.Objects)
			f.ask(ctx, to, digests, part)
			mu.Lock()
			defer mu.Unlock()
			for d, data := range part {
				found[d] = data
			}
		})
	}
	group.Wait()
	return f.fromPlatform(ctx, missing(wanted, found), found)
}

// answer gives a peer the objects held; a reader fetches those that it lacks.
func (f *Fetcher) answer(ctx context.Context, _ kqname.Node, q request) (answer, error) {
	if wait := f.budget.Allow(time.Now()); wait > 0 {
		return answer{Busy: wait.Milliseconds() + 1}, nil
	}
	var a answer
	var lacking []kqresource.Digest
	bytes := 0
	for _, d := range q.Digests {
		data, ok := f.held.Object(d)
		if !ok {
			lacking = append(lacking, d)
			continue
		}
		if bytes += len(data); bytes > answerBytes && len(a.Objects) > 0 {
			return a, nil
		}
		a.Objects = append(a.Objects, data)
	}
	if len(lacking) == 0 || !f.table.Self().Reader {
		return a, nil
	}
	found := make(kqresource.Objects)
	// What the platform does not have either is missing from the answer.
	_ = f.fromPlatform(ctx, lacking, found)
	for _, data := range found {
		if bytes += len(data); bytes > answerBytes && len(a.Objects) > 0 {
			break
		}
		a.Objects = append(a.Objects, data)
	}
	return a, nil
}

func (f *Fetcher) fromPlatform(ctx context.Context, wanted []kqresource.Digest, found kqresource.Objects) error {
	if f.maker != nil {
		return f.allAtOnce(ctx, wanted, found)
	}
	for _, d := range wanted {
		data, err := f.one(ctx, d)
		if err != nil {
			return fmt.Errorf("fetch %d objects: %w", len(wanted), err)
		}
		found[d] = data
	}
	return nil
}

// one reads an object from the platform, once for all who want it now.
func (f *Fetcher) one(ctx context.Context, d kqresource.Digest) ([]byte, error) {
	f.mu.Lock()
	if data, ok := f.recent[d]; ok {
		f.mu.Unlock()
		return data, nil
	}
	if other, ok := f.flights[d]; ok {
		f.mu.Unlock()
		select {
		case <-other.done:
			return other.data, other.err
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for object %s: %w", d, ctx.Err())
		}
	}
	own := &flight{done: make(chan struct{})}
	f.flights[d] = own
	f.mu.Unlock()
	// Whoever came first may give up; the others still wait for this.
	reading, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	own.err = errPanicked
	defer f.land(d, own)
	own.data, own.err = f.read(reading, d)
	return own.data, own.err
}

// land ends a reading for all who wait for it, also where it panics: they would
// wait for good, and so would all who want the object later.
func (f *Fetcher) land(d kqresource.Digest, own *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.flights, d)
	if own.err == nil {
		f.keep(d, own.data)
	}
	close(own.done)
}

func (f *Fetcher) keep(d kqresource.Digest, data []byte) {
	f.recent[d] = data
	if f.order = append(f.order, d); len(f.order) > recent {
		delete(f.recent, f.order[0])
		f.order = f.order[1:]
	}
}

func (f *Fetcher) read(ctx context.Context, d kqresource.Digest) ([]byte, error) {
	perSecond, most := f.share()
	f.limiter.SetLimit(rate.Limit(perSecond))
	f.limiter.SetBurst(most)
	if err := f.limiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("keep to the platform's rate: %w", err)
	}
	objects, err := f.platform.Fetch(ctx, []kqresource.Digest{d})
	if err != nil {
		return nil, err
	}
	data, ok := objects[d]
	if !ok {
		return nil, fmt.Errorf("object %s: %w", d, errMissing)
	}
	return data, nil
}

// share is this node's part of the platform's rate, in calls per second, and how
// many calls it may save up.
func (f *Fetcher) share() (perSecond float64, most int) {
	if f.table.Self().Reader {
		return f.total / 2 / float64(max(len(f.readers()), assumedReaders)), readerBurst
	}
	return f.total / 2 / float64(max(len(f.table.Members()), f.expected)), burst
}
