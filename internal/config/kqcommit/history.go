package kqcommit

import (
	"context"
	"errors"
	"fmt"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const historyPrefix = "kumquatgw/history/"

var (
	// ErrHistoryMismatch means that a history record does not match its version or digest,
	// or the parent digest in its successor.
	ErrHistoryMismatch = namespace.NewType("chain").New("history record does not match its digest or version")
	// ErrCollected means that the objects of a past version have been deleted.
	ErrCollected = namespace.NewType("collected").New("objects of the version have been deleted by collection")
)

// HistoryRecord is the history record of a root. History also returns one for the
// current root.
type HistoryRecord struct {
	Root kqresource.Root `cbor:"1,keyasint"`
	// Digest is that of the complete root, also when Root has been trimmed.
	Digest kqresource.Digest `cbor:"2,keyasint"`
	// Trimmed is set once collection has deleted the objects that only expired
	// versions referenced; Root then keeps only metadata, such as author and reason.
	Trimmed bool `cbor:"3,keyasint"`
}

// HistoryKey returns the store key of a version's history record.
func HistoryKey(v kqname.ConfigVersion) string { return fmt.Sprintf("%s%020d", historyPrefix, v) }

// Root returns the current root and its revision. Before the first commit these are the
// empty root and, unless a collection has written that one, kqstore.Absent.
func (c *Committer) Root(ctx context.Context) (kqresource.Root, kqstore.Revision, error) {
	var root kqresource.Root
	revision, err := c.readValue(ctx, RootKey, &root)
	if err != nil && !errors.Is(err, kqstore.ErrNotFound) {
		return kqresource.Root{}, 0, fmt.Errorf("read root: %w", err)
	}
	return root, revision, nil
}

// Document returns the current document and its root.
func (c *Committer) Document(ctx context.Context) (kqdocument.Document, kqresource.Root, error) {
	root, _, err := c.Root(ctx)
	if err != nil || root.Version == 0 {
		return kqdocument.Document{}, root, err
	}
	d, err := c.joinDocument(ctx, root)
	return d, root, err
}

// DocumentAt returns the document of a past version or the current one; that of
// version 0 is empty. It returns ErrCollected for a version that garbage collection has
// trimmed, and kqstore.ErrNotFound for one that never existed or whose objects were
// deleted by a collection that has not trimmed it yet.
func (c *Committer) DocumentAt(ctx context.Context, v kqname.ConfigVersion) (kqdocument.Document, error) {
	current, _, err := c.Root(ctx)
	if err != nil {
		return kqdocument.Document{}, err
	}
	if v == 0 {
		return kqdocument.Document{}, nil
	}
	if v == current.Version {
		return c.joinDocument(ctx, current)
	}
	historyRecord, err := c.historyRecord(ctx, v)
	if err != nil {
		return kqdocument.Document{}, err
	}
	if historyRecord.Trimmed {
		return kqdocument.Document{}, fmt.Errorf("read document %d: %w", v, ErrCollected)
	}
	return c.joinDocument(ctx, historyRecord.Root)
}

// History returns up to limit versions, but at least the current one, from which it
// goes backwards. If an older record cannot be read, it returns the newer records with
// the error, which is ErrHistoryMismatch if the record does not match the parent digest
// in its successor.
func (c *Committer) History(ctx context.Context, limit int) ([]HistoryRecord, error) {
	root, _, err := c.Root(ctx)
	if err != nil || root.Version == 0 {
		return nil, err
	}
	first, err := newHistoryRecord(root)
	if err != nil {
		return nil, err
	}
	list := []HistoryRecord{first}
	for len(list) < limit {
		last := list[len(list)-1].Root
		if last.Version <= 1 {
			break
		}
		h, err := c.historyRecord(ctx, last.Version-1)
		if err != nil {
			return list, err
		}
		if h.Digest != last.Parent {
			return list, fmt.Errorf("version %d: %w", h.Root.Version, ErrHistoryMismatch)
		}
		list = append(list, h)
	}
	return list, nil
}

// Fetch reads objects from the store.
func (c *Committer) Fetch(ctx context.Context, wanted []kqresource.Digest) (kqresource.Objects, error) {
	objects := make(kqresource.Objects, len(wanted))
	for _, d := range wanted {
		e, err := c.store.Get(ctx, ObjectKey(d))
		if err != nil {
			return nil, fmt.Errorf("fetch object: %w", err)
		}
		objects[d] = e.Value
	}
	return objects, nil
}

func (c *Committer) joinDocument(ctx context.Context, root kqresource.Root) (kqdocument.Document, error) {
	if root.Version == 0 {
		return kqdocument.Document{}, nil
	}
	objects, err := c.Fetch(ctx, root.Digests())
	if err != nil {
		return kqdocument.Document{}, fmt.Errorf("read document %d: %w", root.Version, err)
	}
	d, err := kqresource.Join(root, objects)
	if err != nil {
		return kqdocument.Document{}, fmt.Errorf("read document %d: %w", root.Version, err)
	}
	return d, nil
}

// historyRecord reads the history record of a version and verifies its version and
// digest. The digest of a trimmed record cannot be verified.
func (c *Committer) historyRecord(ctx context.Context, v kqname.ConfigVersion) (HistoryRecord, error) {
	var h HistoryRecord
	if _, err := c.readValue(ctx, HistoryKey(v), &h); err != nil {
		return HistoryRecord{}, fmt.Errorf("read version %d: %w", v, err)
	}
	recomputed, err := newHistoryRecord(h.Root)
	if err != nil {
		return HistoryRecord{}, fmt.Errorf("read version %d: %w", v, err)
	}
	if h.Root.Version != v || !h.Trimmed && recomputed.Digest != h.Digest {
		return HistoryRecord{}, fmt.Errorf("read version %d: %w", v, ErrHistoryMismatch)
	}
	return h, nil
}

// writeHistory writes the history record of a root. Each commit does so before
// it replaces the root, so that every version but the current one has a record.
func (c *Committer) writeHistory(ctx context.Context, root kqresource.Root) error {
	h, err := newHistoryRecord(root)
	if err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	data, err := kqresource.Encode(h)
	if err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	if _, err := c.store.Put(ctx, HistoryKey(root.Version), data, kqstore.NoLease); err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	return nil
}

func newHistoryRecord(root kqresource.Root) (HistoryRecord, error) {
	data, err := kqresource.Encode(root)
	if err != nil {
		return HistoryRecord{}, err
	}
	return HistoryRecord{Root: root, Digest: kqresource.DigestOf(data)}, nil
}

func (c *Committer) readValue(ctx context.Context, key string, value any) (kqstore.Revision, error) {
	e, err := c.store.Get(ctx, key)
	if err != nil {
		return kqstore.Absent, err
	}
	if err := kqresource.Decode(e.Value, value); err != nil {
		return kqstore.Absent, err
	}
	return e.Revision, nil
}
