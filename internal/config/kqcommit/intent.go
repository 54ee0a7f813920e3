package kqcommit

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	intentPrefix   = "kumquatgw/intent/"
	intentIndexKey = "kumquatgw/intents"
	// maxIndexAttempts bounds the attempts to add an intent to the index.
	maxIndexAttempts = 20
)

type (
	// intent records what a request is about to write. It binds the request ID
	// to its content and lists the objects, since otherwise the collector could not
	// find those of a commit that never took effect.
	intent struct {
		ID      string            `cbor:"1,keyasint"`
		Content kqresource.Digest `cbor:"2,keyasint"`
		// Bases holds the base of each commit that was begun with this ID, except those
		// whose swaps were made to fail.
		Bases []kqname.ConfigVersion `cbor:"3,keyasint"`
		// At is the time of the latest request with this ID.
		At      time.Time           `cbor:"4,keyasint"`
		Objects []kqresource.Digest `cbor:"5,keyasint"`
	}

	// intentIndex holds the time of each request by its ID, because the platform
	// cannot list the keys of the intents. The collector removes expired ones.
	intentIndex struct {
		Intents map[string]time.Time `cbor:"1,keyasint"`
	}
)

// lookupRequest returns the intent of a request ID with its revision, empty and
// kqstore.Absent if there is none, and the version that it was committed as, or 0. It
// returns ErrRequestIDReused if the intent is for other content.
func (c *Committer) lookupRequest(ctx context.Context, id string, content kqresource.Digest, current kqresource.Root) (intent, kqstore.Revision, kqname.ConfigVersion, error) {
	known, revision, err := c.readIntent(ctx, id)
	if errors.Is(err, kqstore.ErrNotFound) {
		return intent{}, kqstore.Absent, 0, nil
	}
	if err != nil {
		return intent{}, 0, 0, err
	}
	if known.Content != content {
		return intent{}, 0, 0, ErrRequestIDReused
	}
	version, err := c.findVersion(ctx, known, current)
	return known, revision, version, err
}

func (c *Committer) readIntent(ctx context.Context, id string) (intent, kqstore.Revision, error) {
	var i intent
	revision, err := c.readValue(ctx, intentPrefix+id, &i)
	if err != nil {
		return intent{}, 0, fmt.Errorf("read intent: %w", err)
	}
	return i, revision, nil
}

// withBase returns the intent for a new attempt, with q.Base added to the bases.
func (i intent) withBase(q Request, content kqresource.Digest, objects kqresource.Objects) intent {
	next := intent{ID: q.ID, Content: content, At: q.At.UTC(), Bases: slices.Clone(i.Bases)}
	if !slices.Contains(next.Bases, q.Base) {
		next.Bases = append(next.Bases, q.Base)
	}
	next.Objects = objects.Digests()
	return next
}

// withoutBase returns the intent without a base whose swaps can no longer take effect.
func (i intent) withoutBase(base kqname.ConfigVersion) intent {
	i.Bases = slices.DeleteFunc(slices.Clone(i.Bases), func(v kqname.ConfigVersion) bool { return v == base })
	return i
}

// canReplace reports whether a swap that replaces version v may be in flight.
func (i intent) canReplace(v kqname.ConfigVersion) bool { return slices.Contains(i.Bases, v) }

// registerIntent writes an intent and adds it to the index. Both must precede
// the first object: an unreferenced object could never be found and deleted. revision is
// that of the intent which i was derived from. If another call with the same ID has written
// the intent since, registerIntent returns errInterrupted: overwriting it would lose the
// other call's base, and with it the proof that the request was committed already.
func (c *Committer) registerIntent(ctx context.Context, i intent, revision kqstore.Revision) error {
	err := c.writeIntent(ctx, i, revision)
	if errors.Is(err, kqstore.ErrConflict) {
		return fmt.Errorf("register intent: %w: %w", errInterrupted, err)
	}
	if err != nil {
		return err
	}
	return c.addToIndex(ctx, i)
}

// writeIntent replaces the intent that has the given revision.
func (c *Committer) writeIntent(ctx context.Context, i intent, revision kqstore.Revision) error {
	data, err := kqresource.Encode(i)
	if err != nil {
		return fmt.Errorf("encode intent: %w", err)
	}
	if _, err := c.store.Swap(ctx, intentPrefix+i.ID, revision, data, kqstore.NoLease); err != nil {
		return fmt.Errorf("write intent: %w", err)
	}
	return nil
}

// addToIndex adds the intent to the index. It retries on conflicts, since
// other operators may update the index concurrently.
func (c *Committer) addToIndex(ctx context.Context, i intent) error {
	var err error
	for n := range maxIndexAttempts {
		c.waitBeforeRetry(ctx, min(n, 4))
		var l intentIndex
		var revision kqstore.Revision
		l, revision, err = c.readIntentIndex(ctx)
		if err != nil {
			return err
		}
		l.Intents[i.ID] = i.At
		if err = c.writeIntentIndex(ctx, l, revision); !errors.Is(err, kqstore.ErrConflict) {
			return err
		}
	}
	return err
}

func (c *Committer) readIntentIndex(ctx context.Context) (intentIndex, kqstore.Revision, error) {
	l := intentIndex{}
	revision, err := c.readValue(ctx, intentIndexKey, &l)
	if err != nil && !errors.Is(err, kqstore.ErrNotFound) {
		return intentIndex{}, 0, fmt.Errorf("read intent index: %w", err)
	}
	if l.Intents == nil {
		l.Intents = make(map[string]time.Time)
	}
	return l, revision, nil
}

func (c *Committer) writeIntentIndex(ctx context.Context, l intentIndex, revision kqstore.Revision) error {
	data, err := kqresource.Encode(l)
	if err != nil {
		return fmt.Errorf("write intent index: %w", err)
	}
	if _, err := c.store.Swap(ctx, intentIndexKey, revision, data, kqstore.NoLease); err != nil {
		return fmt.Errorf("write intent index: %w", err)
	}
	return nil
}

// contentDigest returns the digest of a document's content, independent of the
// version, author, reason and time of the commit.
func contentDigest(r kqresource.Root) (kqresource.Digest, error) {
	data, err := kqresource.Encode(kqresource.Root{Hosts: r.Hosts, Services: r.Services, Ownership: r.Ownership, Workspaces: r.Workspaces})
	if err != nil {
		return kqresource.Digest{}, fmt.Errorf("encode content: %w", err)
	}
	return kqresource.DigestOf(data), nil
}
