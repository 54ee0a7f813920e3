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

	"github.com/kumquatgw/kumquatgw/internal/base/kqkeeper"
	"github.com/kumquatgw/kumquatgw/internal/base/kqpause"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	watchWait = 20 * time.Second
	// pollEvery is the mean pause between two polls of one follower, and pollSpread
	// how far one is off it at most. A store can leave all watches silent for
	// seconds at a time; even then one of three followers that reach it has polled
	// within two seconds, but for one time in a hundred. It costs the store 0.4
	// calls a second for each follower, however large the fleet is.
	pollEvery   = 2500 * time.Millisecond
	pollSpread  = 500 * time.Millisecond
	backoffBase = 100 * time.Millisecond
	backoffMost = time.Second
	// keptRoots is how many versions' objects are kept for peers that are behind.
	keptRoots = 4
)

type (
	// Decoder reads what operators write.
	Decoder interface {
		// Prefix is what all of the operators' keys begin with.
		Prefix() string
		// Document reads an entry that holds the document, and reports false for
		// other entries.
		Document(e kqstore.Entry) (kqdocument.Document, kqname.ConfigVersion, bool, error)
		// Order reads an entry that holds an order, and reports false for others.
		Order(e kqstore.Entry) (kqdocument.Rollout, bool, error)
	}

	// Origin follows the operators' keys and makes versions of them. It is safe
	// for concurrent use.
	Origin struct {
		store   kqstore.Lister
		decoder Decoder
		receive func(context.Context, kqresource.Root)
		refused func(key string, err error)
		failed  func(error)

		mu       sync.Mutex
		document kqdocument.Document
		number   kqname.ConfigVersion
		orders   map[string]kqdocument.Rollout
		// seen is the revision of each key that was looked at last.
		seen     map[string]kqstore.Revision
		revision kqstore.Revision
		root     kqresource.Root
		objects  []kqresource.Objects
	}
)

// New returns an origin. Receive gets each version's root; refused is told once
// of each entry that is not taken over, and failed of each call to the store
// that went wrong.
func New(store kqstore.Lister, decoder Decoder, receive func(context.Context, kqresource.Root),
	refused func(key string, err error), failed func(error),
) *Origin {
	return &Origin{
		store: store, decoder: decoder, receive: receive, refused: refused, failed: failed,
		orders: make(map[string]kqdocument.Rollout), seen: make(map[string]kqstore.Revision),
	}
}

// Run follows the keys until ctx ends.
func (o *Origin) Run(ctx context.Context) {
	var group conc.WaitGroup
	kept := kqkeeper.From(ctx)
	group.Go(func() { kept.Keep(ctx, "watch", func() { o.follow(ctx) }) })
	group.Go(func() { kept.Keep(ctx, "poll", func() { o.poll(ctx) }) })
	group.Wait()
}

// Fetch returns objects of a recent version. It lists the keys anew for what it
// does not hold.
func (o *Origin) Fetch(ctx context.Context, wanted []kqresource.Digest) (kqresource.Objects, error) {
	if found := o.Made(wanted); len(found) == len(wanted) {
		return found, nil
	}
	if err := o.list(ctx); err != nil {
		return nil, fmt.Errorf("fetch %d objects: %w", len(wanted), err)
	}
	return o.Made(wanted), nil
}

// Made returns those of the wanted objects that belong to a recent version. It makes
// no calls.
func (o *Origin) Made(wanted []kqresource.Digest) kqresource.Objects {
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

func (o *Origin) follow(ctx context.Context) {
	backoff := backoffBase
	var after kqstore.Revision
	for ctx.Err() == nil {
		var err error
		if after == 0 {
			after, err = o.listAll(ctx)
		} else {
			after, err = o.wait(ctx, after)
		}
		if err == nil {
			backoff = backoffBase
			continue
		}
		if ctx.Err() != nil {
			return
		}
		o.failed(err)
		kqpause.For(ctx, rand.N(backoff)+time.Millisecond)
		backoff = min(2*backoff, backoffMost)
	}
}

// wait takes in the next change and returns where to go on from, 0 to list anew.
func (o *Origin) wait(ctx context.Context, after kqstore.Revision) (kqstore.Revision, error) {
	l, err := o.store.Follow(ctx, o.decoder.Prefix(), after, watchWait)
	switch {
	case errors.Is(err, kqstore.ErrNotFound):
		return after, nil
	case errors.Is(err, kqstore.ErrCompacted):
		return 0, nil
	case err != nil:
		// What changed meanwhile may be more than the next watch tells of.
		return 0, err
	}
	o.take(ctx, l, false)
	return max(l.Revision, after), nil
}

func (o *Origin) poll(ctx context.Context) {
	for {
		kqpause.For(ctx, pollEvery-pollSpread+rand.N(2*pollSpread))
		if ctx.Err() != nil {
			return
		}
		if err := o.list(ctx); err != nil && ctx.Err() == nil {
			o.failed(err)
		}
	}
}

func (o *Origin) list(ctx context.Context) error {
	_, err := o.listAll(ctx)
	return err
}

func (o *Origin) listAll(ctx context.Context) (kqstore.Revision, error) {
	l, err := o.store.List(ctx, o.decoder.Prefix())
	if err != nil {
		return 0, err
	}
	o.take(ctx, l, true)
	return max(l.Revision, 1), nil
}

// take takes in entries; whole tells that they are all there are, so that
// orders which are not among them are gone.
func (o *Origin) take(ctx context.Context, l kqstore.Listing, whole bool) {
	if root, changed := o.takeIn(l, whole); changed {
		o.receive(ctx, root)
	}
}

// takeIn takes in entries, and returns the root of the version that they make, if
// there is one.
func (o *Origin) takeIn(l kqstore.Listing, whole bool) (kqresource.Root, bool) {
	o.mu.Lock()
	// A panic while an entry is read must not leave the lock held for good.
	defer o.mu.Unlock()
	changed := false
	for _, e := range l.Entries {
		if o.seen[e.Key] >= e.Revision {
			continue
		}
		o.seen[e.Key] = e.Revision
		if o.accept(e) {
			changed = true
			o.revision = max(o.revision, e.Revision)
		}
	}
	for key := range o.orders {
		gone := slices.Contains(l.Deleted, key)
		if whole && l.Revision > o.seen[key] {
			gone = !slices.ContainsFunc(l.Entries, func(e kqstore.Entry) bool { return e.Key == key })
		}
		if gone {
			delete(o.orders, key)
			changed = true
			o.revision = max(o.revision, l.Revision)
		}
	}
	if !changed || o.number == 0 || !o.build() {
		return kqresource.Root{}, false
	}
	return o.root, o.root.Version > 0
}

// accept takes over one entry, or refuses it whole: what was in force before
// stays so.
func (o *Origin) accept(e kqstore.Entry) bool {
	d, number, ok, err := o.decoder.Document(e)
	if ok {
		if err == nil && number <= o.number {
			err = fmt.Errorf("version %d after %d: %w", number, o.number, errOld)
		}
		if err == nil {
			err = sound(d)
		}
		if err != nil {
			o.refused(e.Key, err)
			return false
		}
		o.document, o.number = d, number
		return true
	}
	r, ok, err := o.decoder.Order(e)
	if err != nil {
		o.refused(e.Key, err)
		return false
	}
	if ok {
		o.orders[e.Key] = r
	}
	return ok
}

// build makes the root and the objects of what is in force.
func (o *Origin) build() bool {
	d := o.document
	known := make(map[kqname.Service]bool, len(d.Services))
	for _, s := range d.Services {
		known[s.Name] = true
	}
	for _, key := range slices.Sorted(maps.Keys(o.orders)) {
		// An order for a service that the document does not name waits for it.
		if known[o.orders[key].Service] {
			d.Rollouts = append(slices.Clone(d.Rollouts), o.orders[key])
		}
	}
	if err := sound(d); err != nil {
		o.refused(o.decoder.Prefix(), err)
		return false
	}
	root, objects, err := kqresource.Split(d)
	if err != nil {
		o.refused(o.decoder.Prefix(), err)
		return false
	}
	root.Version = kqname.ConfigVersion(o.revision)
	o.root = root
	o.objects = append([]kqresource.Objects{objects}, o.objects[:min(len(o.objects), keptRoots-1)]...)
	return true
}

func sound(d kqdocument.Document) error {
	if problems := kqdocument.Validate(d); len(problems) > 0 {
		return fmt.Errorf("%d problems, the first at %w: %w", len(problems), problems[0], errInvalid)
	}
	return nil
}
