package kqcommit

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// RootKey is the key of the root in force.
	RootKey = "kumquatgw/root"

	// Committed tells that the document came into force as Outcome.Version.
	Committed Status = "committed"
	// Conflict tells that another commit came first and this one will never
	// take effect; Outcome.Difference is what changed since the base.
	Conflict Status = "conflict"
	// Unknown tells that answers were lost and could not be settled; Settle, or
	// the same commit with the same id, asks again.
	Unknown Status = "unknown"

	objectPrefix = "kumquatgw/object/"

	commitTries  = 3
	swapTries    = 4
	defaultPause = 50 * time.Millisecond
	maxText      = 1024
)

var (
	// namespace holds the package's error types; its errors are made once and carry
	// no stack.
	namespace = errorx.NewNamespace("kqcommit").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// ErrInvalid tells that the document has problems; see Outcome.Problems.
	ErrInvalid = namespace.NewType("invalid").New("document is invalid")
	// ErrRequest tells that a request's id, author or reason is unfit.
	ErrRequest = namespace.NewType("request").New("request is invalid")
	// ErrReused tells that a request id was used before with another document.
	ErrReused = namespace.NewType("reused").New("request id was used with another document")
	// ErrNotBegun tells that nobody has begun a commit under a request id.
	ErrNotBegun = namespace.NewType("not_begun").New("no commit was begun under this request id")

	errRenewed = errors.New("root was renewed meanwhile")
)

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
		Status    Status `json:"status"`
		RequestID string `json:"request_id"`
		// Version is the committed one, or with Conflict the one in force.
		Version    kqname.ConfigVersion `json:"version"`
		Problems   []kqdocument.Problem `json:"problems,omitempty"`
		Difference []kqdocument.Change  `json:"difference,omitempty"`
	}

	// Committer commits documents. It keeps nothing between calls.
	Committer struct {
		store Store
		pause time.Duration
	}

	// Option sets up a Committer.
	Option func(*Committer)

	// attempt is one request on its way to the swap.
	attempt struct {
		request  Request
		intent   intent
		objects  kqresource.Objects
		content  kqresource.Root
		base     kqresource.Root
		revision kqstore.Revision
	}
)

// WithPause sets the wait before a lost answer is asked after again; it grows
// with each try.
func WithPause(d time.Duration) Option { return func(c *Committer) { c.pause = d } }

// New returns a committer on the platform's service.
func New(store Store, options ...Option) *Committer {
	c := &Committer{store: store, pause: defaultPause}
	for _, o := range options {
		o(c)
	}
	return c
}

// ObjectKey returns the platform's key of an object.
func ObjectKey(d kqresource.Digest) string { return objectPrefix + d.String() }

// Commit validates the document and puts it in force. Its errors, ErrInvalid,
// ErrRequest, ErrReused and kqstore's, mean that this call has put nothing in
// force; otherwise the outcome is certain or Unknown.
func (c *Committer) Commit(ctx context.Context, q Request) (Outcome, error) {
	if err := q.check(); err != nil {
		return Outcome{RequestID: q.ID}, err
	}
	if problems := kqdocument.Validate(q.Document); len(problems) > 0 {
		return Outcome{RequestID: q.ID, Problems: problems}, fmt.Errorf("commit %s: %w", q.ID, ErrInvalid)
	}
	content, objects, err := kqresource.Split(q.Document)
	if err != nil {
		return Outcome{RequestID: q.ID}, fmt.Errorf("commit %s: %w", q.ID, err)
	}
	var o Outcome
	for range commitTries {
		o, err = c.try(ctx, &attempt{request: q, content: content, objects: objects})
		if !errors.Is(err, errRenewed) {
			break
		}
	}
	if err != nil {
		return Outcome{RequestID: q.ID}, fmt.Errorf("commit %s: %w", q.ID, err)
	}
	return o, nil
}

func (q Request) check() error {
	switch {
	case !kqname.Valid(q.ID):
		return fmt.Errorf("id %q is not a plain name: %w", q.ID, ErrRequest)
	case len(q.Author) > maxText || len(q.Reason) > maxText:
		return fmt.Errorf("author or reason is over %d bytes: %w", maxText, ErrRequest)
	default:
		return nil
	}
}

func (c *Committer) try(ctx context.Context, a *attempt) (Outcome, error) {
	content, err := contentDigest(a.content)
	if err != nil {
		return Outcome{}, err
	}
	known, found, err := c.begun(ctx, a.request.ID, content)
	if err != nil {
		return Outcome{}, err
	}
	if found != 0 {
		return a.committed(found), nil
	}
	a.base, a.revision, err = c.Root(ctx)
	if err != nil {
		return Outcome{}, err
	}
	if a.base.Version != a.request.Base {
		return c.conflict(ctx, a), nil
	}
	a.intent = known.extended(a.request, content, a.objects)
	if err := c.register(ctx, a.intent); err != nil {
		return Outcome{}, err
	}
	if err := c.write(ctx, a.base, a.objects); err != nil {
		return Outcome{}, err
	}
	return c.swap(ctx, a)
}

// write puts the objects that the current root does not name, and the current
// root into the history.
func (c *Committer) write(ctx context.Context, current kqresource.Root, objects kqresource.Objects) error {
	held := make(map[kqresource.Digest]bool)
	for _, d := range current.Digests() {
		held[d] = true
	}
	for _, d := range objects.Digests() {
		if held[d] {
			continue
		}
		if _, err := c.store.Put(ctx, ObjectKey(d), objects[d], kqstore.NoLease); err != nil {
			return fmt.Errorf("write object %s: %w", d, err)
		}
	}
	if current.Version == 0 {
		return nil
	}
	return c.remember(ctx, current)
}

func (a *attempt) committed(v kqname.ConfigVersion) Outcome {
	return Outcome{Status: Committed, RequestID: a.request.ID, Version: v}
}

// conflict tells what changed since the operator's base, or, where the base
// cannot be read any more, what the operator's document would have changed.
func (c *Committer) conflict(ctx context.Context, a *attempt) Outcome {
	o := Outcome{Status: Conflict, RequestID: a.request.ID, Version: a.base.Version}
	current, root, err := c.Document(ctx)
	if err != nil {
		return o
	}
	o.Version = root.Version
	base, err := c.DocumentAt(ctx, a.request.Base)
	if err != nil {
		o.Difference = kqdocument.Diff(current, kqresource.Sorted(a.request.Document))
		return o
	}
	o.Difference = kqdocument.Diff(base, current)
	return o
}
