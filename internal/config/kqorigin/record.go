package kqorigin

import (
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

// checkRecord adopts the recorded document if it is newer than the current one and than the
// document among the changes, or if it has that one's number but other content. It does so,
// too, if there is no current document and that among the changes cannot be used. It asks
// the store only if the changes hold a document that would be accepted, or that one.
func (o *Origin) checkRecord(ctx context.Context, changes []change) error {
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
			return nil
		}
		next = change{entry: unusable.entry}
	}
	r, err := o.recordSince(ctx, next.entry.Revision)
	if err != nil {
		return err
	}
	if r.Number == 0 || r.Number < next.number || r.Number == next.number && r.Digest == kqresource.DigestOf(next.entry.Value) {
		return nil
	}
	return o.adoptRecorded(ctx, next.entry.Key)
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

// adoptRecorded replaces the current document by the recorded one, if that is newer; the
// next merge publishes it. The version of its root is the revision at which it was recorded,
// which is the same on each node that adopts it.
func (o *Origin) adoptRecorded(ctx context.Context, documentKey string) error {
	e, err := o.store.Get(ctx, ContentKey)
	if err != nil {
		return fmt.Errorf("read recorded document: %w", err)
	}
	d, number, _, err := o.decoder.Document(kqstore.Entry{Key: documentKey, Value: e.Value, Revision: e.Revision})
	if err == nil {
		err = validate(d)
	}
	if err != nil {
		return fmt.Errorf("decode recorded document: %w", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record.ContentRevision = max(o.record.ContentRevision, e.Revision)
	if number > o.documentNumber {
		o.setDocument(d, number, kqstore.Entry{Key: documentKey, Value: e.Value})
		o.revision = max(o.revision, e.Revision)
		o.isAdopted = true
	}
	return nil
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
	o.mu.Lock()
	key := o.documentKey
	o.mu.Unlock()
	if err := o.adoptRecorded(ctx, key); err != nil && !errors.Is(err, kqstore.ErrNotFound) {
		return err
	}
	return nil
}
