package kqorigin

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// NumberKey is the store key of the record of the document in force: its number, not
	// the document itself, since every node reads all keys under "kumquatgw/" at its start.
	NumberKey = "kumquatgw/document_number"
	// ContentKey is the store key of that document's encoding.
	ContentKey = "kumquatgw-document"

	// maxRecordAttempts bounds the attempts to write the record while other nodes write it.
	maxRecordAttempts = 4
)

type (
	// documentRecord tells which document was in force last. Without it, a node that
	// starts could not tell an older document in the store, which all others have refused,
	// from the current one, and its version would replace theirs.
	documentRecord struct {
		Number kqname.ConfigVersion `cbor:"1,keyasint"`
		// Digest is that of the document's encoding under ContentKey.
		Digest kqresource.Digest `cbor:"2,keyasint"`
		// ContentRevision is the revision of that encoding.
		ContentRevision kqstore.Revision `cbor:"3,keyasint"`
	}

	// storedRecord is a record with its revision, or kqstore.Absent.
	storedRecord struct {
		documentRecord
		revision kqstore.Revision
	}
)

// WithOnAdopted calls f with the number of each document that is adopted from the record, and
// with the revision of the newest entry beside it. f must not call the Origin.
func WithOnAdopted(f func(number, revision kqname.ConfigVersion)) Option {
	return func(o *Origin) { o.onAdopted = f }
}

// isRecordNewer reports whether the recorded document is newer than the current one and than
// the document among the changes, or has that one's number but other content. It does so,
// too, if there is no current document and that among the changes cannot be used. It asks
// the store only if the changes hold a document that would be accepted, or that one.
func (o *Origin) isRecordNewer(ctx context.Context, changes []change) (bool, error) {
	var next, unusable change
	current := o.currentNumber()
	for _, c := range changes {
		switch {
		case !c.isDocument:
		case c.err != nil || current == 0 && validate(c.document) != nil:
			unusable = c
		case c.number > max(current, next.number):
			next = c
		}
	}
	if next.number == 0 {
		if current > 0 || !unusable.isDocument {
			return false, nil
		}
		next = change{entry: unusable.entry}
	}
	r, err := o.recordSince(ctx, next.entry.Revision)
	if err != nil {
		return false, err
	}
	return r.Number > next.number || r.Number > 0 && r.Number == next.number && r.Digest != kqresource.DigestOf(next.entry.Value), nil
}

func (o *Origin) currentNumber() kqname.ConfigVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.documentNumber
}

// recordSince returns the record, which is empty if there is none, as it was at the given
// revision of a document or later. It asks the store only if the state at the start is older.
func (o *Origin) recordSince(ctx context.Context, documentRevision kqstore.Revision) (storedRecord, error) {
	if o.initial != nil {
		l, err := o.initial.List(ctx, NumberKey)
		if err == nil && documentRevision <= l.Revision {
			return o.decodeRecord(l.Entries)
		}
	}
	return o.readRecord(ctx)
}

// readRecord reads the record, which is empty if there is none, from the store.
func (o *Origin) readRecord(ctx context.Context) (storedRecord, error) {
	e, err := o.store.Get(ctx, NumberKey)
	if errors.Is(err, kqstore.ErrNotFound) {
		return o.decodeRecord(nil)
	}
	if err != nil {
		return storedRecord{}, fmt.Errorf("read record: %w", err)
	}
	return o.decodeRecord([]kqstore.Entry{e})
}

// decodeRecord decodes the entry of the record, or of none, and remembers it.
func (o *Origin) decodeRecord(entries []kqstore.Entry) (storedRecord, error) {
	var r storedRecord
	for _, e := range entries {
		if err := kqresource.Decode(e.Value, &r.documentRecord); err != nil {
			return storedRecord{}, fmt.Errorf("decode record: %w", err)
		}
		r.revision = e.Revision
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.revision >= o.record.revision {
		o.record = r
	}
	return r, nil
}

// applyRecorded lists and applies all entries, and replaces the current document by the
// recorded one if the store holds only an older or unusable one. It returns the entries that
// were rejected.
//
// The entries are listed after the record was read, since a document that was listed before
// may be older than the record while the store already holds a newer one. For the same reason,
// the revision of the recorded content does not become the version: other entries may be newer
// than that content and have a lower revision.
func (o *Origin) applyRecorded(ctx context.Context) ([]refusal, error) {
	content, err := o.store.Get(ctx, ContentKey)
	if err != nil {
		return nil, fmt.Errorf("read recorded document: %w", err)
	}
	l, err := o.store.List(ctx, o.decoder.Prefix())
	if err != nil {
		return nil, fmt.Errorf("list entries after the record: %w", err)
	}
	if err := o.adopt(l, content); err != nil {
		return nil, fmt.Errorf("adopt recorded document: %w", err)
	}
	return o.mergeAndPublish(ctx, l, o.decode(l.Entries, currentListing), currentListing), nil
}

// adopt makes the recorded document the current one, if it precedes that one and a current
// listing has none that is usable and newer. The next merge publishes it under the
// revision of the newest listed entry, which is the same on each node that adopts it.
func (o *Origin) adopt(l kqstore.Listing, content kqstore.Entry) error {
	listed, ok := o.listedDocument(l)
	if !ok {
		// The operators have deleted the document. The current one stays in force.
		return nil
	}
	recorded := change{entry: kqstore.Entry{Key: listed.entry.Key, Value: content.Value, Revision: content.Revision}}
	recorded.document, recorded.number, _, recorded.err = o.decoder.Document(recorded.entry)
	if err := recorded.check(); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record.ContentRevision = max(o.record.ContentRevision, content.Revision)
	current := change{entry: kqstore.Entry{Value: o.documentValue}, number: o.documentNumber}
	if !recorded.precedes(current) || listed.check() == nil && listed.number > recorded.number {
		return nil
	}
	o.setDocument(recorded.document, recorded.number, recorded.entry)
	for _, e := range l.Entries {
		o.revision = max(o.revision, e.Revision)
	}
	o.isAdopted = true
	o.onAdopted(recorded.number, kqname.ConfigVersion(o.revision))
	return nil
}

// listedDocument returns the document of a listing.
func (o *Origin) listedDocument(l kqstore.Listing) (change, bool) {
	for _, e := range l.Entries {
		c := change{entry: e}
		if c.document, c.number, c.isDocument, c.err = o.decoder.Document(e); c.isDocument {
			return c, true
		}
	}
	return change{}, false
}

// check returns an error if the document of a change cannot be used.
func (c change) check() error {
	if c.err != nil {
		return c.err
	}
	return validate(c.document)
}

// precedes reports whether a recorded document takes precedence over another: it has a higher
// number, or the same number and other content, since it was accepted first.
func (c change) precedes(other change) bool {
	return c.number > other.number || c.number == other.number && !bytes.Equal(c.entry.Value, other.entry.Value)
}

// recordDocument records the current document, unless the record is up to date or newer.
func (o *Origin) recordDocument(ctx context.Context) error {
	o.recordMu.Lock()
	defer o.recordMu.Unlock()
	var err error
	for range maxRecordAttempts {
		if err = o.writeRecord(ctx); !errors.Is(err, kqstore.ErrConflict) {
			break
		}
		if err = o.reloadRecord(ctx); err != nil {
			break
		}
	}
	if err != nil {
		return fmt.Errorf("record document: %w", err)
	}
	return nil
}

// writeRecord writes the current document and then the record, if the known record is
// older. It returns kqstore.ErrConflict if another node has written either.
func (o *Origin) writeRecord(ctx context.Context) error {
	o.mu.Lock()
	number, value, known := o.documentNumber, o.documentValue, o.record
	o.mu.Unlock()
	if number <= known.Number {
		return nil
	}
	next := documentRecord{Number: number, Digest: kqresource.DigestOf(value)}
	var err error
	next.ContentRevision, err = o.store.Swap(ctx, ContentKey, known.ContentRevision, value, kqstore.NoLease)
	if err != nil {
		return fmt.Errorf("write content: %w", err)
	}
	data, err := kqresource.Encode(next)
	if err != nil {
		return err
	}
	revision, err := o.store.Swap(ctx, NumberKey, known.revision, data, kqstore.NoLease)
	if err != nil {
		return fmt.Errorf("write number: %w", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record = storedRecord{next, revision}
	return nil
}

// reloadRecord reads the record and its content. The content may be newer, if a node failed
// between writing the two; it is then adopted, and not overwritten by an older document.
func (o *Origin) reloadRecord(ctx context.Context) error {
	if _, err := o.readRecord(ctx); err != nil {
		return err
	}
	refused, err := o.applyRecorded(ctx)
	if err != nil && !errors.Is(err, kqstore.ErrNotFound) {
		return err
	}
	for _, r := range refused {
		o.onRefused(r.key, r.err)
	}
	return nil
}
