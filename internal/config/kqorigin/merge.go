package kqorigin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// currentListing holds all entries, so that orders which it lacks have been deleted.
	currentListing listingKind = iota
	// staleListing may be seconds old and lack entries.
	staleListing
	// eventListing holds what a watch has reported.
	eventListing
)

type (
	// listingKind tells what a listing shows.
	listingKind int

	// change is a decoded entry: a document, an order, neither, or err.
	change struct {
		entry      kqstore.Entry
		isDocument bool
		document   kqdocument.Document
		number     kqname.ConfigVersion
		isOrder    bool
		order      order
		err        error
	}

	// refusal is a key with the reason why its entry was rejected.
	refusal struct {
		key string
		err error
	}
)

// applyEvents applies what a watch has reported after a listing. The two show every
// document since the current one, so that an older one is refused without the record.
func (o *Origin) applyEvents(ctx context.Context, l kqstore.Listing) error {
	if o.currentNumber() == 0 {
		return o.applyListing(ctx, l, eventListing)
	}
	o.publish(ctx, l, o.decode(l.Entries, eventListing), eventListing)
	return nil
}

// applyListing applies a listing, which may have missed documents. It applies nothing and
// returns an error if it cannot find out whether a newer document was in force.
func (o *Origin) applyListing(ctx context.Context, l kqstore.Listing, kind listingKind) error {
	changes := o.decode(l.Entries, kind)
	isNewer, err := o.isRecordNewer(ctx, changes)
	if err != nil {
		return fmt.Errorf("check the document's record: %w", err)
	}
	if !isNewer {
		o.publish(ctx, l, changes, kind)
		return nil
	}
	refused, err := o.applyRecorded(ctx)
	if err != nil {
		return fmt.Errorf("apply the document's record: %w", err)
	}
	o.reportRefused(ctx, refused)
	return nil
}

// publish merges the changes of a listing, publishes the resulting version, if there is a new
// one, and reports what was rejected.
func (o *Origin) publish(ctx context.Context, l kqstore.Listing, changes []change, kind listingKind) {
	o.reportRefused(ctx, o.mergeAndPublish(ctx, l, changes, kind))
}

// mergeAndPublish is publish without the report: it returns what was rejected.
func (o *Origin) mergeAndPublish(ctx context.Context, l kqstore.Listing, changes []change, kind listingKind) []refusal {
	root, changed, refused := o.merge(l, changes, kind)
	if changed {
		o.onRoot(ctx, root)
	}
	return refused
}

// reportRefused reports rejected entries. Before it reports a document that is not newer, it
// records the current one, so that a node that starts afterwards refuses it too.
func (o *Origin) reportRefused(ctx context.Context, refused []refusal) {
	for _, r := range refused {
		if errors.Is(r.err, errNotNewer) {
			if err := o.recordDocument(ctx); err != nil {
				o.onFailure(err)
			}
		}
		o.onRefused(r.key, r.err)
	}
}

// decode decodes the entries that were not processed yet.
func (o *Origin) decode(entries []kqstore.Entry, kind listingKind) []change {
	var list []change
	for _, e := range o.unprocessed(entries, kind) {
		c := change{entry: e}
		c.document, c.number, c.isDocument, c.err = o.decoder.Document(e)
		if !c.isDocument {
			c.order, c.isOrder, c.err = o.decodeOrder(e)
		}
		list = append(list, c)
	}
	return list
}

// decodeOrder decodes an entry that holds an order of either kind.
func (o *Origin) decodeOrder(e kqstore.Entry) (order, bool, error) {
	if evacuation, ok, err := o.decoder.Evacuation(e); ok {
		return order{evacuation: &evacuation}, true, err
	}
	rollout, ok, err := o.decoder.Order(e)
	return order{rollout: rollout}, ok, err
}

func (o *Origin) unprocessed(entries []kqstore.Entry, kind listingKind) []kqstore.Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(entries), func(e kqstore.Entry) bool { return o.isProcessed(e, kind) })
}

// isProcessed reports whether an entry, or a later change of its key, was processed. An entry
// of a stale listing that a newer current listing lacked has been deleted since.
func (o *Origin) isProcessed(e kqstore.Entry, kind listingKind) bool {
	return e.Revision <= o.seenRevisions[e.Key] || kind == staleListing && e.Revision <= o.listedRevision
}

// isIncomplete reports whether a stale listing has changes but may lack others that precede
// them: an order that it lacks may have been deleted, and an entry that is older than an applied
// one does not raise the version.
func (o *Origin) isIncomplete(l kqstore.Listing) bool {
	changes := o.unprocessed(l.Entries, staleListing)
	listed := listedKeys(l)
	o.mu.Lock()
	defer o.mu.Unlock()
	if slices.ContainsFunc(changes, func(e kqstore.Entry) bool { return e.Revision <= o.revision }) {
		return true
	}
	for key := range o.orders {
		if !listed[key] {
			return len(changes) > 0
		}
	}
	return false
}

func listedKeys(l kqstore.Listing) map[string]bool {
	listed := make(map[string]bool, len(l.Entries))
	for _, e := range l.Entries {
		listed[e.Key] = true
	}
	return listed
}

// merge merges the changes of a listing. It returns the root of the resulting version, if
// there is a new one, and the entries that it rejected.
func (o *Origin) merge(l kqstore.Listing, changes []change, kind listingKind) (root kqresource.Root, changed bool, refused []refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed, o.isAdopted = o.isAdopted, false
	for _, c := range changes {
		if o.isProcessed(c.entry, kind) {
			continue
		}
		o.seenRevisions[c.entry.Key] = c.entry.Revision
		accepted, err := o.accept(c)
		delete(o.unusable, c.entry.Key)
		if err != nil {
			refused = append(refused, refusal{c.entry.Key, err})
			if !errors.Is(err, errNotNewer) {
				o.unusable[c.entry.Key] = true
			}
		}
		if accepted {
			changed = true
			o.revision = max(o.revision, c.entry.Revision)
		}
	}
	for _, d := range l.Deleted {
		changed = o.deleteOrder(d, l.Revision) || changed
	}
	if kind == currentListing {
		changed = o.deleteMissingOrders(l) || changed
		o.listedRevision = max(o.listedRevision, l.Revision)
	}
	if !changed || o.documentNumber == 0 {
		return kqresource.Root{}, false, refused
	}
	if kqname.ConfigVersion(o.revision) <= o.root.Version {
		// What has changed is older than an entry that was applied before it.
		o.revision = max(o.revision, l.Revision)
	}
	if err := o.buildVersion(); err != nil {
		o.unusable[o.decoder.Prefix()] = true
		return kqresource.Root{}, false, append(refused, refusal{o.decoder.Prefix(), err})
	}
	delete(o.unusable, o.decoder.Prefix())
	return o.root, o.root.Version > 0, refused
}

// accept applies a change and reports whether it did. A change that is rejected, or is
// neither a document nor an order, leaves the current document and orders unchanged.
func (o *Origin) accept(c change) (bool, error) {
	switch {
	case c.err != nil:
		return false, c.err
	case c.isDocument && c.number <= o.documentNumber:
		return false, fmt.Errorf("document number %d, current number %d: %w", c.number, o.documentNumber, errNotNewer)
	case c.isDocument:
		if err := validate(c.document); err != nil {
			return false, err
		}
		o.setDocument(c.document, c.number, c.entry)
	case c.isOrder:
		o.orders[c.entry.Key] = c.order
	}
	return c.isDocument || c.isOrder, nil
}

func (o *Origin) setDocument(d kqdocument.Document, number kqname.ConfigVersion, e kqstore.Entry) {
	o.document, o.documentNumber, o.documentKey, o.documentValue = d, number, e.Key, e.Value
}

// deleteMissingOrders deletes the orders that a complete listing lacks, unless they are newer
// than the listing, and reports whether there were any.
func (o *Origin) deleteMissingOrders(l kqstore.Listing) bool {
	listed := listedKeys(l)
	maps.DeleteFunc(o.unusable, func(key string, _ bool) bool { return !listed[key] && key != o.decoder.Prefix() })
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
	delete(o.unusable, d.Key)
	if _, ok := o.orders[d.Key]; !ok {
		return false
	}
	delete(o.orders, d.Key)
	o.revision = max(o.revision, listingRevision)
	return true
}

// buildVersion builds the root and the objects of the current document and orders. It
// returns an error and keeps the previous root if they are invalid together or cannot be
// split into objects.
func (o *Origin) buildVersion() error {
	d := o.document
	known := make(map[kqname.Service]bool, len(d.Services))
	for _, s := range d.Services {
		known[s.Name] = true
	}
	d.Rollouts, d.Evacuations = slices.Clone(d.Rollouts), slices.Clone(d.Evacuations)
	for _, key := range slices.Sorted(maps.Keys(o.orders)) {
		// A rollout of a service that the document lacks is left out until the document
		// has the service.
		switch next := o.orders[key]; {
		case next.evacuation != nil:
			d.Evacuations = append(d.Evacuations, *next.evacuation)
		case known[next.rollout.Service]:
			d.Rollouts = append(d.Rollouts, next.rollout)
		}
	}
	if err := validate(d); err != nil {
		return err
	}
	root, objects, err := kqresource.Split(d)
	if err != nil {
		return err
	}
	root.Version = kqname.ConfigVersion(o.revision)
	o.root = root
	o.objects = append([]kqresource.Objects{objects}, o.objects[:min(len(o.objects), maxKeptVersions-1)]...)
	return nil
}

func validate(d kqdocument.Document) error {
	if problems := kqdocument.ValidateAdopted(d); len(problems) > 0 {
		return fmt.Errorf("%d validation problems, first %w: %w", len(problems), problems[0], errInvalid)
	}
	return nil
}
