package kqorigin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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
	}

	// Store is the part of the store that an Origin uses.
	Store interface {
		List(ctx context.Context, prefix string) (kqstore.Listing, error)
		ListStale(ctx context.Context, prefix string) (kqstore.Listing, error)
		Follow(ctx context.Context, prefix string, after kqstore.Revision, wait time.Duration) (kqstore.Listing, error)
	}

	// Origin follows the operators' keys and builds versions from them. It is safe
	// for concurrent use.
	Origin struct {
		store     Store
		decoder   Decoder
		onRoot    func(context.Context, kqresource.Root)
		onRefused func(key string, err error)
		onFailure func(error)

		mu       sync.Mutex
		document kqdocument.Document
		// documentNumber is the operators' number for the document, or 0 before the
		// first document.
		documentNumber kqname.ConfigVersion
		// orders holds the rollout orders by their keys.
		orders map[string]kqdocument.Rollout
		// seenRevisions maps each key to the highest revision of its entries and deletions
		// that were processed. Late events and old reads are ignored by it.
		seenRevisions map[string]kqstore.Revision
		// revision is that of the newest entry that was applied or, if higher, of the
		// listing that showed the deletion of an order. It becomes the version of the next
		// root.
		revision kqstore.Revision
		root     kqresource.Root
		// objects holds the objects of recent versions, the newest first.
		objects []kqresource.Objects
	}
)

// New returns an Origin. onRoot is called with the root of each version, possibly
// concurrently and out of order, onRefused with the key of each entry that is rejected,
// or with the decoder's prefix if the entries are invalid together, and onFailure for
// each failed list or watch of Watch and Poll.
func New(store Store, decoder Decoder, onRoot func(context.Context, kqresource.Root),
	onRefused func(key string, err error), onFailure func(error),
) *Origin {
	return &Origin{
		store: store, decoder: decoder, onRoot: onRoot, onRefused: onRefused, onFailure: onFailure,
		orders: make(map[string]kqdocument.Rollout), seenRevisions: make(map[string]kqstore.Revision),
	}
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
	o.apply(ctx, l, false)
	return max(l.Revision, after), nil
}

// Poll lists the keys at random intervals until ctx ends. It compensates for watches that
// report no changes and for watching nodes that have died or cannot reach the store.
func (o *Origin) Poll(ctx context.Context) {
	for polls := 1; ; polls++ {
		kqsleep.For(ctx, pollInterval-pollJitter+rand.N(2*pollJitter))
		if ctx.Err() != nil {
			return
		}
		refresh := o.refreshStale
		if polls%(stalePolls+1) == 0 {
			refresh = o.refresh
		}
		if err := refresh(ctx); err != nil && ctx.Err() == nil {
			o.onFailure(err)
		}
	}
}

// refreshStale lists all entries, which may be seconds old, and applies those that are newer
// than the known ones.
func (o *Origin) refreshStale(ctx context.Context) error {
	l, err := o.store.ListStale(ctx, o.decoder.Prefix())
	if err != nil {
		return err
	}
	o.apply(ctx, kqstore.Listing{Entries: l.Entries}, false)
	return nil
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
	o.apply(ctx, l, true)
	return max(l.Revision, 1), nil
}

// apply merges a listing and publishes the resulting version, if there is a new one.
// complete means that the listing holds all entries, so that orders which it lacks
// have been deleted.
func (o *Origin) apply(ctx context.Context, l kqstore.Listing, complete bool) {
	if root, changed := o.merge(l, complete); changed {
		o.onRoot(ctx, root)
	}
}

// merge merges a listing and returns the root of the resulting version, if there is a
// new one.
func (o *Origin) merge(l kqstore.Listing, complete bool) (kqresource.Root, bool) {
	o.mu.Lock()
	// Deferred, so that a panic in the decoder does not leave the lock held forever.
	defer o.mu.Unlock()
	changed := false
	for _, e := range l.Entries {
		if e.Revision <= o.seenRevisions[e.Key] {
			continue
		}
		o.seenRevisions[e.Key] = e.Revision
		if o.acceptEntry(e) {
			changed = true
			o.revision = max(o.revision, e.Revision)
		}
	}
	for _, d := range l.Deleted {
		changed = o.deleteOrder(d, l.Revision) || changed
	}
	if complete {
		changed = o.deleteMissingOrders(l) || changed
	}
	if !changed || o.documentNumber == 0 || !o.buildVersion() {
		return kqresource.Root{}, false
	}
	return o.root, o.root.Version > 0
}

// deleteMissingOrders deletes the orders that a complete listing lacks, unless they are newer
// than the listing, and reports whether there were any.
func (o *Origin) deleteMissingOrders(l kqstore.Listing) bool {
	listed := make(map[string]bool, len(l.Entries))
	for _, e := range l.Entries {
		listed[e.Key] = true
	}
	changed := false
	for key := range o.orders {
		if !listed[key] {
			changed = o.deleteOrder(kqstore.Deletion{Key: key, Revision: l.Revision}, l.Revision) || changed
		}
	}
	return changed
}

// deleteOrder applies a deletion that a listing of the given revision showed, and reports
// whether it removed an order. A deletion that is older than the order is ignored: the order
// was written again since.
func (o *Origin) deleteOrder(d kqstore.Deletion, listingRevision kqstore.Revision) bool {
	if d.Revision <= o.seenRevisions[d.Key] {
		return false
	}
	o.seenRevisions[d.Key] = d.Revision
	if _, ok := o.orders[d.Key]; !ok {
		return false
	}
	delete(o.orders, d.Key)
	o.revision = max(o.revision, listingRevision)
	return true
}

// acceptEntry applies one entry and reports whether it did. An entry that is rejected,
// or is neither a document nor an order, leaves the current document and orders
// unchanged.
func (o *Origin) acceptEntry(e kqstore.Entry) bool {
	d, documentNumber, ok, err := o.decoder.Document(e)
	if ok {
		if err == nil && documentNumber <= o.documentNumber {
			err = fmt.Errorf("document number %d, current number %d: %w", documentNumber, o.documentNumber, errNotNewer)
		}
		if err == nil {
			err = validate(d)
		}
		if err != nil {
			o.onRefused(e.Key, err)
			return false
		}
		o.document, o.documentNumber = d, documentNumber
		return true
	}
	r, ok, err := o.decoder.Order(e)
	if err != nil {
		o.onRefused(e.Key, err)
		return false
	}
	if ok {
		o.orders[e.Key] = r
	}
	return ok
}

// buildVersion builds the root and the objects of the current document and orders. It
// returns false and keeps the previous root if they are invalid together or cannot be
// split into objects.
func (o *Origin) buildVersion() bool {
	d := o.document
	known := make(map[kqname.Service]bool, len(d.Services))
	for _, s := range d.Services {
		known[s.Name] = true
	}
	for _, key := range slices.Sorted(maps.Keys(o.orders)) {
		// An order for a service that the document lacks is left out until the
		// document has the service.
		if known[o.orders[key].Service] {
			d.Rollouts = append(slices.Clone(d.Rollouts), o.orders[key])
		}
	}
	if err := validate(d); err != nil {
		o.onRefused(o.decoder.Prefix(), err)
		return false
	}
	root, objects, err := kqresource.Split(d)
	if err != nil {
		o.onRefused(o.decoder.Prefix(), err)
		return false
	}
	root.Version = kqname.ConfigVersion(o.revision)
	o.root = root
	o.objects = append([]kqresource.Objects{objects}, o.objects[:min(len(o.objects), maxKeptVersions-1)]...)
	return true
}

func validate(d kqdocument.Document) error {
	if problems := kqdocument.Validate(d); len(problems) > 0 {
		return fmt.Errorf("%d validation problems, first %w: %w", len(problems), problems[0], errInvalid)
	}
	return nil
}
