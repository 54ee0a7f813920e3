// Package kqcommit writes the operators' document to the platform's service
// and reads it back. Objects are written first; the compare-and-swap of the
// root alone commits.
package kqcommit

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/platform/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// RootKey is the key of the root in force.
	RootKey = "kumquatgw/root"

	// Committed tells that the document is in force.
	Committed Status = "committed"
	// Conflict tells that another commit came first; nothing was changed.
	Conflict Status = "conflict"
	// Unknown tells that the platform's answer was lost and could not be
	// settled; Settle asks again.
	Unknown Status = "unknown"

	objectPrefix = "kumquatgw/object/"
	rootPrefix   = "kumquatgw/history/"
)

// ErrInvalid tells that the document has problems; see Outcome.Problems.
var ErrInvalid = errors.New("document is invalid")

type (
	// Status is how a commit ended.
	Status string

	// Store is the part of the platform's service that commits use.
	Store interface {
		Get(ctx context.Context, key string) (kqstore.Entry, error)
		Put(ctx context.Context, key string, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
		Swap(ctx context.Context, key string, expected kqstore.Revision, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
	}

	// Request is one operator's change.
	Request struct {
		// ID names the change; the same ID is committed at most once.
		ID string
		// Base is the version that the operator edited; 0 is the empty one.
		Base     kqname.ConfigVersion
		Author   string
		Reason   string
		At       time.Time
		Document kqdocument.Document
	}

	// Outcome is what the operator is told.
	Outcome struct {
		Status    Status               `json:"status"`
		RequestID string               `json:"request_id"`
		Version   kqname.ConfigVersion `json:"version"`
		Problems  []kqdocument.Problem `json:"problems,omitempty"`
	}

	// Committer commits documents. It keeps nothing between calls.
	Committer struct {
		store Store
	}
)

// New returns a committer on the platform's service.
func New(store Store) *Committer { return &Committer{store: store} }

// ObjectKey returns the platform's key of an object.
func ObjectKey(d kqresource.Digest) string { return objectPrefix + d.String() }

// HistoryKey returns the platform's key of a past root.
func HistoryKey(v kqname.ConfigVersion) string { return fmt.Sprintf("%s%020d", rootPrefix, v) }

// Commit validates the document and puts it in force. It returns ErrInvalid
// with the problems, kqstore's errors where nothing was swapped, and otherwise
// an outcome that is certain, or Unknown.
func (c *Committer) Commit(ctx context.Context, q Request) (Outcome, error) {
	if problems := kqdocument.Validate(q.Document); len(problems) > 0 {
		return Outcome{RequestID: q.ID, Problems: problems}, fmt.Errorf("commit %s: %w", q.ID, ErrInvalid)
	}
	current, revision, err := c.Root(ctx)
	if err != nil {
		return Outcome{}, fmt.Errorf("commit %s: %w", q.ID, err)
	}
	if current.RequestID == q.ID {
		return Outcome{Status: Committed, RequestID: q.ID, Version: current.Version}, nil
	}
	if current.Version != q.Base {
		return Outcome{Status: Conflict, RequestID: q.ID, Version: current.Version}, nil
	}
	root, objects, err := kqresource.Split(q.Document)
	if err != nil {
		return Outcome{}, fmt.Errorf("commit %s: %w", q.ID, err)
	}
	root.Version = current.Version + 1
	root.RequestID, root.Author, root.Reason, root.At = q.ID, q.Author, q.Reason, q.At.UTC()
	data, err := kqresource.Encode(root)
	if err != nil {
		return Outcome{}, fmt.Errorf("commit %s: %w", q.ID, err)
	}
	if err := c.write(ctx, current, objects); err != nil {
		return Outcome{}, fmt.Errorf("commit %s: %w", q.ID, err)
	}
	_, err = c.store.Swap(ctx, RootKey, revision, data, kqstore.NoLease)
	if err == nil {
		return Outcome{Status: Committed, RequestID: q.ID, Version: root.Version}, nil
	}
	return c.Settle(ctx, q.ID, root.Version)
}

// Settle finds out whether a commit whose answer was lost took effect, by the
// request id in the root that is in force.
func (c *Committer) Settle(ctx context.Context, id string, version kqname.ConfigVersion) (Outcome, error) {
	current, _, err := c.Root(ctx)
	switch {
	case err != nil:
		return Outcome{Status: Unknown, RequestID: id, Version: version}, nil //nolint:nilerr // Unknown is the answer.
	case current.RequestID == id:
		return Outcome{Status: Committed, RequestID: id, Version: current.Version}, nil
	default:
		return Outcome{Status: Conflict, RequestID: id, Version: current.Version}, nil
	}
}

// Root returns the root in force and its revision; before the first commit it
// is the empty root at kqstore.Absent.
func (c *Committer) Root(ctx context.Context) (kqresource.Root, kqstore.Revision, error) {
	var root kqresource.Root
	e, err := c.store.Get(ctx, RootKey)
	if errors.Is(err, kqstore.ErrNotFound) {
		return root, kqstore.Absent, nil
	}
	if err != nil {
		return root, 0, fmt.Errorf("read root: %w", err)
	}
	if err := kqresource.Decode(e.Value, &root); err != nil {
		return root, 0, fmt.Errorf("read root: %w", err)
	}
	return root, e.Revision, nil
}

// Document returns the document in force and its version.
func (c *Committer) Document(ctx context.Context) (kqdocument.Document, kqresource.Root, error) {
	root, _, err := c.Root(ctx)
	if err != nil || root.Version == 0 {
		return kqdocument.Document{}, root, err
	}
	objects, err := c.Fetch(ctx, root.Digests())
	if err != nil {
		return kqdocument.Document{}, root, fmt.Errorf("read document %d: %w", root.Version, err)
	}
	d, err := kqresource.Join(root, objects)
	if err != nil {
		return kqdocument.Document{}, root, fmt.Errorf("read document %d: %w", root.Version, err)
	}
	return d, root, nil
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

// write puts the objects that the current root does not name, and the current
// root into the history.
func (c *Committer) write(ctx context.Context, current kqresource.Root, objects kqresource.Objects) error {
	held := make(map[kqresource.Digest]bool)
	for _, d := range current.Digests() {
		held[d] = true
	}
	for d, data := range objects {
		if held[d] {
			continue
		}
		if _, err := c.store.Put(ctx, ObjectKey(d), data, kqstore.NoLease); err != nil {
			return fmt.Errorf("write object %s: %w", d, err)
		}
	}
	if current.Version == 0 {
		return nil
	}
	data, err := kqresource.Encode(current)
	if err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	if _, err := c.store.Put(ctx, HistoryKey(current.Version), data, kqstore.NoLease); err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	return nil
}
