package kqorigin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsleep"
	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// watchWait is how long one watch waits for a change.
	watchWait = 20 * time.Second
	// pollInterval is the mean pause between two polls of one node, and pollJitter the
	// largest deviation from it. A store can leave all watches silent for seconds; even
	// then, in 99 of 100 cases, at least one of three nodes that reach the store polls
	// within two seconds.
	pollInterval = 2500 * time.Millisecond
	pollJitter   = 500 * time.Millisecond
	// stalePolls is how many polls in a row read what may be seconds old, which costs the
	// store a tenth. The next poll reads the current entries, which also shows orders that
	// were deleted.
	stalePolls = 7
	// currentPollInterval is the pause between two polls of the node that always reads
	// current entries. While all watches are silent and stale reads are old, it alone finds
	// a document within two seconds; a fifth of these are left for the way to all nodes.
	currentPollInterval = 1250 * time.Millisecond
	// The pause of Watch after a failure is random, up to a limit that doubles from
	// minBackoff to maxBackoff with each failure in a row.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
	// maxKeptVersions is the number of versions whose objects are kept for peers that
	// lag behind.
	maxKeptVersions = 4
)

type (
	// Decoder decodes the entries that operators write.
	Decoder interface {
		// Prefix returns the common prefix of the operators' keys.
		Prefix() string
		// Document decodes an entry that holds the document and the operators' number
		// for it, which must be at least 1. The bool reports whether the entry has the
		// document's key, also with an error.
		Document(e kqstore.Entry) (kqdocument.Document, kqname.ConfigVersion, bool, error)
		// Order decodes an entry that holds a rollout order, which adds one rollout to
		// the document. The bool reports whether the entry has the key of an order, also
		// with an error.
		Order(e kqstore.Entry) (kqdocument.Rollout, bool, error)
		// Evacuation decodes an entry that orders the evacuation of a failure domain for
		// as long as it exists. The bool reports whether the entry has the key of such an
		// order, also with an error.
		Evacuation(e kqstore.Entry) (kqdocument.Evacuation, bool, error)
	}

	// Store is the part of the store that an Origin uses.
	Store interface {
		Get(ctx context.Context, key string) (kqstore.Entry, error)
		Swap(ctx context.Context, key string, expected kqstore.Revision, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
		List(ctx context.Context, prefix string) (kqstore.Listing, error)
		ListStale(ctx context.Context, prefix string) (kqstore.Listing, error)
		Follow(ctx context.Context, prefix string, after kqstore.Revision, wait time.Duration) (kqstore.Listing, error)
	}

	// InitialState returns the entries that the store held when the process started.
	InitialState interface {
		List(ctx context.Context, prefix string) (kqstore.Listing, error)
	}

	// Origin follows the operators' keys and builds versions from them. It is safe
	// for concurrent use.
	Origin struct {
		store      Store
		decoder    Decoder
		onRoot     func(context.Context, kqresource.Root)
		onRefused  func(key string, err error)
		onFailure  func(error)
		initial    InitialState
		isRecorder func() bool
		// pollsCurrent reports whether this node's polls read current entries.
		pollsCurrent func() bool
		onAdopted    func(number, revision kqname.ConfigVersion)
		held         func() kqresource.Root
		onCorrected  func(wrong, corrected kqname.ConfigVersion)
		// suspected is the version of the held root that the last poll found to differ from
		// what the store holds, or 0. Only Poll uses it.
		suspected kqname.ConfigVersion

		// recordMu is held while the record is written, so that Watch and Poll do not
		// conflict with each other.
		recordMu sync.Mutex

		mu       sync.Mutex
		document kqdocument.Document
		// documentNumber is the operators' number for the document, or 0 before the
		// first document. documentKey and documentValue are those of its entry.
		documentNumber kqname.ConfigVersion
		documentKey    string
		documentValue  []byte
		// isAdopted is set if the document was adopted from the record and not published
		// yet.
		isAdopted bool
		// record is the record as it was last read or written.
		record storedRecord
		// orders holds the orders by their keys.
		orders map[string]order
		// seenRevisions maps each key to the highest revision of its entries and deletions
		// that were processed. Late events and old reads are ignored by it.
		seenRevisions map[string]kqstore.Revision
		// unusable holds the keys whose entries could not be used, and the prefix while the
		// entries are invalid together.
		unusable map[string]bool
		// revision is that of the newest entry that was applied or, if higher, of the
		// listing that showed the deletion of an order. It becomes the version of the next
		// root, which therefore must have every older entry: nodes keep the root with the
		// highest version.
		revision kqstore.Revision
		// listedRevision is that of the newest current listing that was applied, or 0.
		listedRevision kqstore.Revision
		root           kqresource.Root
		// objects holds the objects of recent versions, the newest first.
		objects []kqresource.Objects
	}

	// order is what an operator ordered beside the document: a rollout or, if evacuation is
	// not nil, an evacuation.
	order struct {
		rollout    kqdocument.Rollout
		evacuation *kqdocument.Evacuation
	}

	// Option configures an Origin.
	Option func(*Origin)
)

// WithInitial reads the record of the document from the state at the start where that state
// is recent enough, which saves a call to the store.
func WithInitial(s InitialState) Option { return func(o *Origin) { o.initial = s } }

// WithRecorder sets the function that reports whether this node records accepted documents.
// By default it does. Every node records its document when it refuses an older one.
func WithRecorder(isRecorder func() bool) Option {
	return func(o *Origin) { o.isRecorder = isRecorder }
}

// WithCurrentPolls sets the function that reports whether this node polls current entries, at
// shorter intervals. By default it does not. One node of a fleet should.
func WithCurrentPolls(pollsCurrent func() bool) Option {
	return func(o *Origin) { o.pollsCurrent = pollsCurrent }
}

// New returns an Origin. onRoot is called with the root of each version, possibly
// concurrently and out of order, onRefused with the key of each entry that is rejected,
// or with the decoder's prefix if the entries are invalid together, and onFailure for
// each failed call to the store of Watch and Poll.
func New(store Store, decoder Decoder, onRoot func(context.Context, kqresource.Root),
	onRefused func(key string, err error), onFailure func(error), options ...Option,
) *Origin {
	o := &Origin{
		store: store, decoder: decoder, onRoot: onRoot, onRefused: onRefused, onFailure: onFailure,
		isRecorder: func() bool { return true }, pollsCurrent: func() bool { return false },
		onAdopted: func(kqname.ConfigVersion, kqname.ConfigVersion) {},
		held:      func() kqresource.Root { return kqresource.Root{} }, onCorrected: func(kqname.ConfigVersion, kqname.ConfigVersion) {},
		orders: make(map[string]order), seenRevisions: make(map[string]kqstore.Revision), unusable: make(map[string]bool),
	}
	for _, option := range options {
		option(o)
	}
	return o
}

// Run watches and polls the keys until ctx ends.
func (o *Origin) Run(ctx context.Context) {
	var group conc.WaitGroup
	supervisor := kqsupervisor.From(ctx)
	group.Go(func() { supervisor.RunWithRestart(ctx, "watch", func() { o.Watch(ctx) }) })
	group.Go(func() { supervisor.RunWithRestart(ctx, "poll", func() { o.Poll(ctx) }) })
	group.Wait()
}

// Fetch returns the wanted objects that belong to a recent version. If some are
// missing, it lists the keys again; the result may still lack some.
func (o *Origin) Fetch(ctx context.Context, wanted []kqresource.Digest) (kqresource.Objects, error) {
	if found := o.BuiltObjects(wanted); len(found) == len(wanted) {
		return found, nil
	}
	if err := o.refresh(ctx); err != nil {
		return nil, fmt.Errorf("fetch %d objects: %w", len(wanted), err)
	}
	return o.BuiltObjects(wanted), nil
}

// BuiltObjects returns the wanted objects that belong to a recent version. It makes no
// calls to the store.
func (o *Origin) BuiltObjects(wanted []kqresource.Digest) kqresource.Objects {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := make(kqresource.Objects, len(wanted))
	for _, d := range wanted {
		for _, objects := range o.objects {
			if data, ok := objects[d]; ok {
				found[d] = data
			}
		}
	}
	return found
}

// Watch lists the keys and then watches them until ctx ends.
func (o *Origin) Watch(ctx context.Context) {
	backoff := minBackoff
	var after kqstore.Revision
	for ctx.Err() == nil {
		var err error
		if after == 0 {
			after, err = o.listAndApply(ctx)
		} else {
			after, err = o.watchOnce(ctx, after)
		}
		if err == nil {
			backoff = minBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		o.onFailure(err)
		kqsleep.For(ctx, rand.N(backoff)+time.Millisecond)
		backoff = min(2*backoff, maxBackoff)
	}
}

// watchOnce waits for changes, applies them and returns the revision to watch from, or
// 0 if the keys must be listed again.
func (o *Origin) watchOnce(ctx context.Context, after kqstore.Revision) (kqstore.Revision, error) {
	l, err := o.store.Follow(ctx, o.decoder.Prefix(), after, watchWait)
	switch {
	case errors.Is(err, kqstore.ErrNotFound):
		return after, nil
	case errors.Is(err, kqstore.ErrCompacted):
		return 0, nil
	case err != nil:
		// The next watch may not report everything that changed meanwhile.
		return 0, err
	}
	if err := o.applyEvents(ctx, l); err != nil {
		return 0, err
	}
	return max(l.Revision, after), nil
}

// Poll lists the keys at random intervals until ctx ends. It compensates for watches that
// report no changes and for watching nodes that have died or cannot reach the store. It also
// records the document, if this node is the recorder, and corrects the held root.
func (o *Origin) Poll(ctx context.Context) {
	// The phase is random, so that nodes which start together read current entries at
	// different times.
	for polls := rand.N(stalePolls + 1); ; polls++ {
		pause, current := pollInterval-pollJitter+rand.N(2*pollJitter), polls%(stalePolls+1) == 0
		if o.pollsCurrent() {
			pause, current = currentPollInterval, true
		}
		kqsleep.For(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		if err := o.poll(ctx, current); err != nil && ctx.Err() == nil {
			o.onFailure(err)
		}
	}
}

// poll lists and applies all entries once, records the document if this node is the recorder,
// and corrects the held root if this node polls current entries.
func (o *Origin) poll(ctx context.Context, current bool) error {
	if !current {
		if err := o.refreshStale(ctx); err != nil {
			return err
		}
		return o.recordIfRecorder(ctx)
	}
	listed, err := o.listAndApply(ctx)
	if err != nil {
		return err
	}
	if err := o.recordIfRecorder(ctx); err != nil || !o.pollsCurrent() {
		return err
	}
	return o.correctHeld(ctx, listed)
}

func (o *Origin) recordIfRecorder(ctx context.Context) error {
	if !o.isRecorder() {
		return nil
	}
	return o.recordDocument(ctx)
}

// refreshStale lists all entries, which may be seconds old, and applies those that are newer
// than the known ones. It lists the current entries instead if the old ones are not enough for
// a version that has every change before it.
func (o *Origin) refreshStale(ctx context.Context) error {
	if !o.hasListed() {
		return o.refresh(ctx)
	}
	l, err := o.store.ListStale(ctx, o.decoder.Prefix())
	if err != nil {
		return err
	}
	if o.isIncomplete(l) {
		return o.refresh(ctx)
	}
	return o.applyListing(ctx, kqstore.Listing{Entries: l.Entries}, staleListing)
}

// hasListed reports whether a current listing was applied.
func (o *Origin) hasListed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.listedRevision > 0
}

// refresh lists and applies all entries.
func (o *Origin) refresh(ctx context.Context) error {
	_, err := o.listAndApply(ctx)
	return err
}

// listAndApply lists and applies all entries and returns the revision to watch from,
// which is at least 1, since 0 makes Watch list the keys again.
func (o *Origin) listAndApply(ctx context.Context) (kqstore.Revision, error) {
	l, err := o.store.List(ctx, o.decoder.Prefix())
	if err != nil {
		return 0, err
	}
	if err := o.applyListing(ctx, l, currentListing); err != nil {
		return 0, err
	}
	return max(l.Revision, 1), nil
}
