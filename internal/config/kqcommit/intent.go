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
	intentPrefix = "kumquatgw/intent/"
	ledgerKey    = "kumquatgw/intents"
	ledgerTries  = 20
)

type (
	// intent says what a request is about to write. It binds the request's id
	// to its content, and names objects that no root may ever name.
	intent struct {
		ID      string                 `cbor:"1,keyasint"`
		Content kqresource.Digest      `cbor:"2,keyasint"`
		Bases   []kqname.ConfigVersion `cbor:"3,keyasint"`
		At      time.Time              `cbor:"4,keyasint"`
		Objects []kqresource.Digest    `cbor:"5,keyasint"`
	}

	// ledger lists the intents, since the platform lists no keys.
	ledger struct {
		Intents map[string]time.Time `cbor:"1,keyasint"`
	}
)

// begun returns what is known of a request's id, and the version that it was
// committed as, or 0.
func (c *Committer) begun(ctx context.Context, id string, content kqresource.Digest) (intent, kqname.ConfigVersion, error) {
	known, _, err := c.readIntent(ctx, id)
	if errors.Is(err, kqstore.ErrNotFound) {
		return intent{}, 0, nil
	}
	if err != nil {
		return intent{}, 0, err
	}
	if known.Content != content {
		return intent{}, 0, ErrReused
	}
	current, _, err := c.Root(ctx)
	if err != nil {
		return intent{}, 0, err
	}
	found, err := c.find(ctx, known, current)
	return known, found, err
}

func (c *Committer) readIntent(ctx context.Context, id string) (intent, kqstore.Revision, error) {
	var i intent
	revision, err := c.read(ctx, intentPrefix+id, &i)
	if err != nil {
		return intent{}, 0, fmt.Errorf("read intent: %w", err)
	}
	return i, revision, nil
}

// extended returns the intent with one more base to be tried upon.
func (i intent) extended(q Request, content kqresource.Digest, objects kqresource.Objects) intent {
	next := intent{ID: q.ID, Content: content, At: q.At.UTC(), Bases: slices.Clone(i.Bases)}
	if !slices.Contains(next.Bases, q.Base) {
		next.Bases = append(next.Bases, q.Base)
	}
	next.Objects = objects.Digests()
	return next
}

// mayTake reports whether a swap over the version may still be under way.
func (i intent) mayTake(v kqname.ConfigVersion) bool { return slices.Contains(i.Bases, v) }

// register writes an intent and enters it in the ledger. Both come before the
// first object: an object that nothing names could never be found again.
func (c *Committer) register(ctx context.Context, i intent) error {
	data, err := kqresource.Encode(i)
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	known, revision, err := c.readIntent(ctx, i.ID)
	if errors.Is(err, kqstore.ErrNotFound) {
		known, revision, err = i, kqstore.Absent, nil
	}
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	if known.Content != i.Content {
		return ErrReused
	}
	if _, err := c.store.Swap(ctx, intentPrefix+i.ID, revision, data, kqstore.NoLease); err != nil {
		return fmt.Errorf("write intent: %w", err)
	}
	return c.enter(ctx, i)
}

// enter puts the intent into the ledger, however many other operators do the
// same at the time.
func (c *Committer) enter(ctx context.Context, i intent) error {
	var err error
	for n := range ledgerTries {
		c.wait(ctx, min(n, 4))
		var l ledger
		var revision kqstore.Revision
		l, revision, err = c.readLedger(ctx)
		if err != nil {
			return err
		}
		l.Intents[i.ID] = i.At
		if err = c.writeLedger(ctx, l, revision); !errors.Is(err, kqstore.ErrConflict) {
			return err
		}
	}
	return err
}

func (c *Committer) readLedger(ctx context.Context) (ledger, kqstore.Revision, error) {
	l := ledger{}
	revision, err := c.read(ctx, ledgerKey, &l)
	if err != nil && !errors.Is(err, kqstore.ErrNotFound) {
		return ledger{}, 0, fmt.Errorf("read ledger: %w", err)
	}
	if l.Intents == nil {
		l.Intents = make(map[string]time.Time)
	}
	return l, revision, nil
}

func (c *Committer) writeLedger(ctx context.Context, l ledger, revision kqstore.Revision) error {
	data, err := kqresource.Encode(l)
	if err != nil {
		return fmt.Errorf("write ledger: %w", err)
	}
	if _, err := c.store.Swap(ctx, ledgerKey, revision, data, kqstore.NoLease); err != nil {
		return fmt.Errorf("write ledger: %w", err)
	}
	return nil
}

// contentDigest names a document's content, whoever commits it and when.
func contentDigest(r kqresource.Root) (kqresource.Digest, error) {
	data, err := kqresource.Encode(kqresource.Root{Hosts: r.Hosts, Services: r.Services, Ownership: r.Ownership})
	if err != nil {
		return kqresource.Digest{}, fmt.Errorf("digest of content: %w", err)
	}
	return kqresource.DigestOf(data), nil
}
