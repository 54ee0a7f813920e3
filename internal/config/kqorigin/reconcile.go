package kqorigin

import (
	"context"
	"errors"
	"fmt"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// WithHeld sets the function that returns the newest root that this node holds, whichever
// node published it; its version is 0 if there is none. A node that polls current entries then
// corrects a held root which is not what the store holds, and calls onCorrected with the
// version of that root and of the one that it publishes instead.
func WithHeld(held func() kqresource.Root, onCorrected func(wrong, corrected kqname.ConfigVersion)) Option {
	return func(o *Origin) { o.held, o.onCorrected = held, onCorrected }
}

// correctHeld publishes the current content once more, under the revision of a current listing
// that was applied, if this node holds a root of other content and not of an older version than
// the content's own. Nodes keep such a root until the next change: another node built it
// without entries that are older than its version, as nodes of earlier releases may.
//
// It waits for the second poll in a row that shows the same root: the node that published it
// may have accepted a document that is not recorded yet.
func (o *Origin) correctHeld(ctx context.Context, listed kqstore.Revision) error {
	held := o.held()
	if !o.differsFrom(held, listed) {
		o.suspected = 0
		return nil
	}
	if o.suspected != held.Version {
		o.suspected = held.Version
		return nil
	}
	r, err := o.readRecord(ctx)
	if err != nil {
		return err
	}
	if o.isBehind(r) {
		refused, err := o.applyRecorded(ctx)
		o.reportRefused(ctx, refused)
		return err
	}
	if kqname.ConfigVersion(listed) <= held.Version {
		return o.raiseRevision(ctx, r)
	}
	root, ok := o.renumber(listed)
	if !ok {
		return nil
	}
	o.suspected = 0
	o.onCorrected(held.Version, root.Version)
	o.onRoot(ctx, root)
	return nil
}

// differsFrom reports whether a held root replaces the current one although it has other
// content and is not newer than a current listing that was applied. It reports false while an
// entry in the store cannot be used: the held root may be of a later release, which can.
func (o *Origin) differsFrom(held kqresource.Root, listed kqstore.Revision) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.root.Version == 0 || len(o.unusable) > 0 || held.Version < o.root.Version ||
		held.Version > kqname.ConfigVersion(listed) || o.revision > listed {
		return false
	}
	return contentDigest(held) != contentDigest(o.root)
}

// isBehind reports whether the record has a newer document than the current one, or another
// one of its number.
func (o *Origin) isBehind(r storedRecord) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return r.Number > o.documentNumber || r.Number == o.documentNumber && r.Digest != kqresource.DigestOf(o.documentValue)
}

// renumber gives the current content the revision of a current listing, unless a newer entry
// was applied since.
func (o *Origin) renumber(listed kqstore.Revision) (kqresource.Root, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.revision > listed {
		return kqresource.Root{}, false
	}
	o.revision = listed
	o.root.Version = kqname.ConfigVersion(listed)
	return o.root, true
}

// raiseRevision writes the record again, so that the next listing has a higher revision.
func (o *Origin) raiseRevision(ctx context.Context, r storedRecord) error {
	if r.Number == 0 {
		return nil
	}
	o.recordMu.Lock()
	defer o.recordMu.Unlock()
	data, err := kqresource.Encode(r.documentRecord)
	if err != nil {
		return err
	}
	revision, err := o.store.Swap(ctx, NumberKey, r.revision, data, kqstore.NoLease)
	if errors.Is(err, kqstore.ErrConflict) {
		// Another node has raised it.
		return nil
	}
	if err != nil {
		return fmt.Errorf("write number again: %w", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record = storedRecord{r.documentRecord, revision}
	return nil
}

// contentDigest returns the digest of a root without its version, or a zero digest if it
// cannot be encoded.
func contentDigest(root kqresource.Root) kqresource.Digest {
	root.Version = 0
	data, err := kqresource.Encode(root)
	if err != nil {
		return kqresource.Digest{}
	}
	return kqresource.DigestOf(data)
}
