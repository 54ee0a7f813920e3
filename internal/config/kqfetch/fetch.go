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

	"github.com/kumquatgw/kumquatgw/internal/base/kqsleep"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodObjects = "c.o"

	peerTimeout = 2 * time.Second
	// hedgeDelay is the time after which a hedged call to the next peer is started,
	// and ownerTimeout how long a reader waits for the other readers before it reads
	// from the platform itself. A partitioned peer is detected only after some
	// seconds: without hedged calls, two such peers would keep a node on an old
	// version for twice peerTimeout. An answer takes 2 to 200 ms, the longest over a
	// link of 10 Mbit/s.
	hedgeDelay   = 250 * time.Millisecond
	ownerTimeout = 500 * time.Millisecond
	readTimeout  = 5 * time.Second
	// maxPeerPasses bounds how often the list of peers is tried while some of them
	// are busy, before the platform is called.
	maxPeerPasses = 3
	// maxAnswerBytes bounds the total size of the objects in one answer, except that
	// the first object is sent whatever its size. The caller requests the rest again.
	maxAnswerBytes = 256 << 10
	// readerBurst and burst are the token bucket sizes, in platform calls, of a
	// reader and of any other node.
	readerBurst = 32
	burst       = 4
	// assumedReaders is the least number of readers that a reader divides the readers'
	// rate by. After many nodes restart together, no reader knows of any other, and
	// each would otherwise use the whole of it.
	assumedReaders = 8
	// recent is the largest number of objects in the map Fetcher.recent, which caches
	// those last read from the platform, to serve peers before the replica holds them.
	recent = 32
	// maxOtherPeers bounds how many readers of other failure domains and how many
	// peers of the same service are called.
	maxOtherPeers = 2
)

var (
	// errMissing means that the platform, too, did not return an object.
	errMissing = errors.New("object not found")
	// errPanicked is the result of a platform read that panicked.
	errPanicked = errors.New("read from the platform panicked")
)

type (
	// Platform reads objects from the platform's key-value service.
	Platform interface {
		Fetch(ctx context.Context, wanted []kqresource.Digest) (kqresource.Objects, error)
	}

	// LocalConfig returns the objects that this node holds and the hosts that its
	// traffic uses, the most recently used first.
	LocalConfig interface {
		Object(d kqresource.Digest) ([]byte, bool)
		Hosts() []kqname.Host
	}

	// ObjectBuilder returns objects that this node has built from what it read from the
	// platform. It makes no network calls.
	ObjectBuilder interface {
		BuiltObjects(wanted []kqresource.Digest) kqresource.Objects
	}

	// Budget limits bulk transfers. Delay returns how long a transfer must wait, or 0
	// if it may be sent now.
	Budget interface {
		Delay(now time.Time) time.Duration
	}

	// Fetcher fetches objects. It is safe for concurrent use.
	//
	// The rate of platform calls is limited for the whole fleet. A reader uses half of
	// it divided by the number of readers, but at least by assumedReaders; any other
	// node uses half of it divided by the number of members, but at least by the
	// expected number of nodes. Apart from bursts, the fleet can therefore exceed the
	// rate only if there are more readers than assumedReaders, or more nodes than
	// expected, and they do not all know each other.
	Fetcher struct {
		client        *kqrpc.Client
		table         *kqmember.Table
		platform      Platform
		budget        Budget
		fleetRate     float64
		expectedNodes int
		limiter       *rate.Limiter
		// builder is set if the platform returns all objects of a version in one call, and
		// watchers then returns the members that watch the platform for all others.
		builder  ObjectBuilder
		watchers func() []kqmember.Member
		onSlow   func(Timing)

		mu sync.Mutex
		// local is set before peers are served and then only read; mu guards the
		// fields below it.
		local LocalConfig
		// wholeRead is the platform read in flight of all objects of a version, or nil.
		wholeRead *sharedRead
		reads     map[kqresource.Digest]*sharedRead
		// partial holds the objects that the last fetch of this node's own had found when it
		// failed or was cancelled.
		partial     kqresource.Objects
		recent      map[kqresource.Digest][]byte
		recentOrder []kqresource.Digest
		// group runs the reads that outlive the fetch which started them.
		group conc.WaitGroup
	}

	// sharedRead is a read in flight that several callers wait for. data is set only for
	// the read of a single object, objects for that of several.
	sharedRead struct {
		done    chan struct{}
		data    []byte
		objects kqresource.Objects
		err     error
	}

	request struct {
		Digests []kqresource.Digest `cbor:"1,keyasint"`
	}

	answer struct {
		// Objects are the objects found; the caller identifies them by digest.
		Objects [][]byte `cbor:"1,keyasint"`
		// RetryAfterMS is set instead of Objects if the peer is over its send budget: the
		// time in milliseconds after which to call it again.
		RetryAfterMS int64 `cbor:"2,keyasint,omitempty"`
	}
)

// New returns a Fetcher that serves peers on server. perSecond is the rate of platform
// calls of the whole fleet, which is expected to have up to expectedNodes nodes; see
// Fetcher.
func New(server *kqrpc.Server, client *kqrpc.Client, table *kqmember.Table, platform Platform, budget Budget, perSecond, expectedNodes int) *Fetcher {
	f := &Fetcher{
		client: client, table: table, platform: platform, budget: budget,
		fleetRate: float64(perSecond), expectedNodes: expectedNodes,
		limiter: rate.NewLimiter(1, burst), reads: make(map[kqresource.Digest]*sharedRead),
		recent: make(map[kqresource.Digest][]byte), onSlow: func(Timing) {},
	}
	kqrpc.Handle(server, methodObjects, f.answer)
	kqrpc.Handle(server, methodHosts, f.answerHosts)
	return f
}

// UseBuilder declares that the platform returns all objects of a version in one call, so
// that objects which no peer has are not read one by one. Objects that b returns are
// neither fetched nor counted against the platform's rate: a node that reads
// versions for others would otherwise spend its rate on objects which it has, and
// stay on an old version for seconds while it serves newer ones. watchers returns the
// members that watch the platform, which build each version first.
func (f *Fetcher) UseBuilder(b ObjectBuilder, watchers func() []kqmember.Member) {
	f.builder, f.watchers = b, watchers
}

// ServeFrom sets the local configuration that is served to peers. It must be called
// before the server accepts connections.
func (f *Fetcher) ServeFrom(l LocalConfig) { f.local = l }

// Fetch returns all wanted objects, or those found and an error.
func (f *Fetcher) Fetch(ctx context.Context, wanted []kqresource.Digest) (kqresource.Objects, error) {
	start, t := time.Now(), Timing{Wanted: len(wanted)}
	found, err := f.fetch(ctx, wanted, &t)
	f.keepPartial(found, err)
	if t.Took, t.Err = time.Since(start), err; t.Took >= slowFetch {
		f.onSlow(t)
	}
	return found, err
}

func (f *Fetcher) fetch(ctx context.Context, wanted []kqresource.Digest, t *Timing) (kqresource.Objects, error) {
	found := f.builtObjects(wanted)
	f.addPartial(wanted, found)
	if wanted = missing(wanted, found); len(wanted) == 0 {
		return found, nil
	}
	self := f.table.Self()
	if self.Reader && f.builder != nil {
		return found, f.fetchWholeVersion(ctx, wanted, found, t)
	}
	if self.Reader {
		return found, f.fetchAsReader(ctx, self.Node, wanted, found)
	}
	for pass := range maxPeerPasses {
		peersStart := time.Now()
		wait := f.fetchFromPeers(ctx, f.peers(self), wanted, found)
		t.Peers += time.Since(peersStart)
		if wanted = missing(wanted, found); len(wanted) == 0 {
			return found, nil
		}
		if wait == 0 || pass == maxPeerPasses-1 {
			break
		}
		t.BusyPeers++
		kqsleep.For(ctx, rand.N(wait)+time.Millisecond)
	}
	return found, f.fetchFromPlatform(ctx, missing(wanted, found), found, t)
}

// keepPartial keeps what a fetch has found if it failed. Versions that come quickly cancel each
// other's fetches: without the objects that they have in common, each fetch would begin anew.
func (f *Fetcher) keepPartial(found kqresource.Objects, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partial = nil
	if err != nil {
		f.partial = found
	}
}

// addPartial adds the wanted objects that an earlier fetch has found.
func (f *Fetcher) addPartial(wanted []kqresource.Digest, found kqresource.Objects) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range wanted {
		if data, ok := f.partial[d]; ok {
			found[d] = data
		}
	}
}

// fetchAsReader fetches each object from the reader that owns it by rendezvous
// hashing, so that all readers together read each object from the platform about
// once. It reads from the platform the objects that this node owns and those that
// their owner did not return in time.
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
			f.fetchFromPeer(ctx, to, digests, part)
			mu.Lock()
			defer mu.Unlock()
			for d, data := range part {
				found[d] = data
			}
		})
	}
	group.Wait()
	return f.fetchFromPlatform(ctx, missing(wanted, found), found, &Timing{})
}

// answer returns the requested objects that this node holds, up to maxAnswerBytes; a
// reader also fetches missing ones from the platform. A node that is over its send
// budget returns only a retry delay.
func (f *Fetcher) answer(ctx context.Context, _ kqname.Node, q request) (answer, error) {
	if wait := f.budget.Delay(time.Now()); wait > 0 {
		return answer{RetryAfterMS: wait.Milliseconds() + 1}, nil
	}
	var a answer
	var lacking []kqresource.Digest
	bytes := 0
	for _, d := range q.Digests {
		data, ok := f.local.Object(d)
		if !ok {
			lacking = append(lacking, d)
			continue
		}
		if bytes += len(data); bytes > maxAnswerBytes && len(a.Objects) > 0 {
			return a, nil
		}
		a.Objects = append(a.Objects, data)
	}
	if len(lacking) == 0 || !f.table.Self().Reader {
		return a, nil
	}
	found := make(kqresource.Objects)
	// On an error, the answer lacks the objects that were not read.
	_ = f.fetchFromPlatform(ctx, lacking, found, &Timing{})
	for _, data := range found {
		if bytes += len(data); bytes > maxAnswerBytes && len(a.Objects) > 0 {
			break
		}
		a.Objects = append(a.Objects, data)
	}
	return a, nil
}

// fetchFromPlatform reads the wanted objects from the platform and adds them to found.
// On an error, found still gets the objects that were read.
func (f *Fetcher) fetchFromPlatform(ctx context.Context, wanted []kqresource.Digest, found kqresource.Objects, t *Timing) error {
	if f.builder != nil {
		return f.fetchWholeVersion(ctx, wanted, found, t)
	}
	for _, d := range wanted {
		data, err := f.fetchObject(ctx, d)
		if err != nil {
			return fmt.Errorf("fetch %d objects: %w", len(wanted), err)
		}
		found[d] = data
	}
	return nil
}

// fetchObject returns a cached object or reads it from the platform; concurrent
// callers share one read.
func (f *Fetcher) fetchObject(ctx context.Context, d kqresource.Digest) ([]byte, error) {
	f.mu.Lock()
	if data, ok := f.recent[d]; ok {
		f.mu.Unlock()
		return data, nil
	}
	if other, ok := f.reads[d]; ok {
		f.mu.Unlock()
		select {
		case <-other.done:
			return other.data, other.err
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for object %s: %w", d, ctx.Err())
		}
	}
	own := &sharedRead{done: make(chan struct{})}
	f.reads[d] = own
	f.mu.Unlock()
	// The read outlives ctx, because other callers may wait for it.
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	own.err = errPanicked
	defer f.finishRead(d, own)
	own.data, own.err = f.readObject(readCtx, d)
	return own.data, own.err
}

// finishRead ends a read for all callers that wait for it. It must run even after a
// panic; otherwise all present and later callers for the object would wait until their
// contexts end, and no caller would read it again.
func (f *Fetcher) finishRead(d kqresource.Digest, own *sharedRead) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reads, d)
	if own.err == nil {
		f.addRecent(d, own.data)
	}
	close(own.done)
}

// addRecent caches an object and evicts the oldest one if there are more than the
// constant recent allows. It requires f.mu.
func (f *Fetcher) addRecent(d kqresource.Digest, data []byte) {
	f.recent[d] = data
	if f.recentOrder = append(f.recentOrder, d); len(f.recentOrder) > recent {
		delete(f.recent, f.recentOrder[0])
		f.recentOrder = f.recentOrder[1:]
	}
}

// readObject reads one object from the platform within the rate limit.
func (f *Fetcher) readObject(ctx context.Context, d kqresource.Digest) ([]byte, error) {
	perSecond, burstSize := f.platformShare()
	f.limiter.SetLimit(rate.Limit(perSecond))
	f.limiter.SetBurst(burstSize)
	if err := f.limiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("wait for the platform's rate limit: %w", err)
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

// platformShare returns this node's share of the platform's rate, in calls per
// second, and its burst.
func (f *Fetcher) platformShare() (perSecond float64, burstSize int) {
	if f.table.Self().Reader {
		return f.fleetRate / 2 / float64(max(len(f.readers()), assumedReaders)), readerBurst
	}
	return f.fleetRate / 2 / float64(max(len(f.table.Members()), f.expectedNodes)), burst
}
