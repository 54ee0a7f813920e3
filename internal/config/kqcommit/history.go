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

const rootPrefix = "kumquatgw/history/"

var (
	// ErrChain tells that a past root is not the one that its successor names.
	ErrChain = namespace.NewType("chain").New("history is broken")
	// ErrCollected tells that a past version's objects are no longer kept.
	ErrCollected = namespace.NewType("collected").New("version has been collected")
)

// Past is a root that was in force before the current one.
type Past struct {
	Root kqresource.Root `cbor:"1,keyasint"`
	// Digest names the whole root, trimmed or not.
	Digest kqresource.Digest `cbor:"2,keyasint"`
	// Trimmed tells that the version's objects have been collected and only
	// who and why are kept.
	Trimmed bool `cbor:"3,keyasint"`
}

// HistoryKey returns the platform's key of a past root.
func HistoryKey(v kqname.ConfigVersion) string { return fmt.Sprintf("%s%020d", rootPrefix, v) }

// Root returns the root in force and its revision; before the first commit it
// is the empty root at kqstore.Absent.
func (c *Committer) Root(ctx context.Context) (kqresource.Root, kqstore.Revision, error) {
	var root kqresource.Root
	revision, err := c.read(ctx, RootKey, &root)
	if err != nil && !errors.Is(err, kqstore.ErrNotFound) {
		return kqresource.Root{}, 0, fmt.Errorf("read root: %w", err)
	}
	return root, revision, nil
}

// Document returns the document in force and its root.
func (c *Committer) Document(ctx context.Context) (kqdocument.Document, kqresource.Root, error) {
	root, _, err := c.Root(ctx)
	if err != nil || root.Version == 0 {
		return kqdocument.Document{}, root, err
	}
	d, err := c.join(ctx, root)
	return d, root, err
}

// DocumentAt returns the document of one version, past or in force. It returns
// kqstore.ErrNotFound for a version that never was and ErrCollected for one
// that is no longer kept.
func (c *Committer) DocumentAt(ctx context.Context, v kqname.ConfigVersion) (kqdocument.Document, error) {
	current, _, err := c.Root(ctx)
	if err != nil {
		return kqdocument.Document{}, err
	}
	if v == 0 {
		return kqdocument.Document{}, nil
	}
	if v == current.Version {
		return c.join(ctx, current)
	}
	past, err := c.past(ctx, v)
	if err != nil {
		return kqdocument.Document{}, err
	}
	if past.Trimmed {
		return kqdocument.Document{}, fmt.Errorf("read document %d: %w", v, ErrCollected)
	}
	return c.join(ctx, past.Root)
}

// History returns up to most versions, the newest first, from the one in force
// back. It returns ErrChain, and what came before it, where a root is not the
// one that its successor names.
func (c *Committer) History(ctx context.Context, most int) ([]Past, error) {
	root, _, err := c.Root(ctx)
	if err != nil || root.Version == 0 {
		return nil, err
	}
	first, err := pastOf(root)
	if err != nil {
		return nil, err
	}
	list := []Past{first}
	for len(list) < most {
		last := list[len(list)-1].Root
		if last.Version <= 1 {
			break
		}
		p, err := c.past(ctx, last.Version-1)
		if err != nil {
			return list, err
		}
		if p.Digest != last.Parent {
			return list, fmt.Errorf("version %d: %w", p.Root.Version, ErrChain)
		}
		list = append(list, p)
	}
	return list, nil
}

// Fetch reads objects from the platform's service.
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

func (c *Committer) join(ctx context.Context, root kqresource.Root) (kqdocument.Document, error) {
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

func (c *Committer) past(ctx context.Context, v kqname.ConfigVersion) (Past, error) {
	var p Past
	if _, err := c.read(ctx, HistoryKey(v), &p); err != nil {
		return Past{}, fmt.Errorf("read version %d: %w", v, err)
	}
	whole, err := pastOf(p.Root)
	if err != nil {
		return Past{}, fmt.Errorf("read version %d: %w", v, err)
	}
	if p.Root.Version != v || !p.Trimmed && whole.Digest != p.Digest {
		return Past{}, fmt.Errorf("read version %d: %w", v, ErrChain)
	}
	return p, nil
}

// remember puts a root into the history. Whoever replaces it does so first, so
// that each version but the one in force is there.
func (c *Committer) remember(ctx context.Context, root kqresource.Root) error {
	p, err := pastOf(root)
	if err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	data, err := kqresource.Encode(p)
	if err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	if _, err := c.store.Put(ctx, HistoryKey(root.Version), data, kqstore.NoLease); err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	return nil
}

func pastOf(root kqresource.Root) (Past, error) {
	data, err := kqresource.Encode(root)
	if err != nil {
		return Past{}, err
	}
	return Past{Root: root, Digest: kqresource.DigestOf(data)}, nil
}

func (c *Committer) read(ctx context.Context, key string, value any) (kqstore.Revision, error) {
	e, err := c.store.Get(ctx, key)
	if err != nil {
		return kqstore.Absent, err
	}
	if err := kqresource.Decode(e.Value, value); err != nil {
		return kqstore.Absent, err
	}
	return e.Revision, nil
}
