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

type (
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
		return o.applyListing(ctx, l, false)
	}
	o.publish(ctx, l, o.decode(l.Entries), false)
	return nil
}

// applyListing applies a listing, which may have missed documents. complete means that it
// holds all entries, so that orders which it lacks have been deleted. applyListing applies
// nothing and returns an error if it cannot find out whether a newer document was in force.
func (o *Origin) applyListing(ctx context.Context, l kqstore.Listing, complete bool) error {
	changes := o.decode(l.Entries)
	if err := o.checkRecord(ctx, changes); err != nil {
		return fmt.Errorf("check the document's record: %w", err)
	}
	o.publish(ctx, l, changes, complete)
	return nil
}

// publish merges the changes of a listing and publishes the resulting version, if there is
// a new one. Before it reports a document as refused, it records the current one, so that a
// node that starts afterwards refuses it too.
func (o *Origin) publish(ctx context.Context, l kqstore.Listing, changes []change, complete bool) {
	root, changed, refused := o.merge(l, changes, complete)
	if changed {
		o.onRoot(ctx, root)
	}
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
func (o *Origin) decode(entries []kqstore.Entry) []change {
	var list []change
	for _, e := range o.unprocessed(entries) {
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

func (o *Origin) unprocessed(entries []kqstore.Entry) []kqstore.Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(entries), func(e kqstore.Entry) bool { return e.Revision <= o.seenRevisions[e.Key] })
}

// merge merges the changes of a listing. It returns the root of the resulting version, if
// there is a new one, and the entries that it rejected.
func (o *Origin) merge(l kqstore.Listing, changes []change, complete bool) (root kqresource.Root, changed bool, refused []refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed, o.isAdopted = o.isAdopted, false
	for _, c := range changes {
		if c.entry.Revision <= o.seenRevisions[c.entry.Key] {
			continue
		}
		o.seenRevisions[c.entry.Key] = c.entry.Revision
		accepted, err := o.accept(c)
		if err != nil {
			refused = append(refused, refusal{c.entry.Key, err})
		}
		if accepted {
			changed = true
			o.revision = max(o.revision, c.entry.Revision)
		}
	}
	for _, d := range l.Deleted {
		changed = o.deleteOrder(d, l.Revision) || changed
	}
	if complete {
		changed = o.deleteMissingOrders(l) || changed
	}
	if !changed || o.documentNumber == 0 {
		return kqresource.Root{}, false, refused
	}
	if err := o.buildVersion(); err != nil {
		return kqresource.Root{}, false, append(refused, refusal{o.decoder.Prefix(), err})
	}
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
