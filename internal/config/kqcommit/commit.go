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
	// RootKey is the store key of the current root.
	RootKey = "kumquatgw/root"

	// Committed means that the document took effect as Outcome.Version.
	Committed Status = "committed"
	// Conflict means that the current version is not the request's base, or that the
	// commit was withdrawn because another call with the same ID got this status. No
	// earlier commit with this ID takes effect any longer; one that another call makes at
	// the same time may.
	Conflict Status = "conflict"
	// Unknown means that the result could not be determined, for example because
	// responses were lost, and the commit may still take effect. Call
	// ResolveOutcome, or repeat the commit with the same ID.
	Unknown Status = "unknown"

	objectPrefix = "kumquatgw/object/"

	// maxCommitAttempts bounds the attempts of a commit that garbage collection or
	// another call interrupts, and maxSwapAttempts the swaps of one attempt.
	maxCommitAttempts = 3
	maxSwapAttempts   = 4
	defaultBackoff    = 50 * time.Millisecond
	// maxTextBytes limits the author and the reason of a request.
	maxTextBytes = 1024
)

var (
	// namespace holds the package's error types. The errors are package-level
	// sentinels, so they carry no stack trace.
	namespace = errorx.NewNamespace("kqcommit").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// ErrInvalid means that the document failed validation; see Outcome.Problems.
	ErrInvalid = namespace.NewType("invalid").New("document is invalid")
	// ErrInvalidRequest means that a request's ID, author or reason is not allowed.
	ErrInvalidRequest = namespace.NewType("request").New("request is invalid")
	// ErrRequestIDReused means that a request ID was used before with another document.
	ErrRequestIDReused = namespace.NewType("reused").New("request id was used with another document")
	// ErrUnknownRequest means that no intent was written for a request ID, for example
	// because Commit returned Conflict or an error before that.
	ErrUnknownRequest = namespace.NewType("not_begun").New("no commit was begun under this request id")

	// errInterrupted means that garbage collection or another call rewrote the root or
	// the request's intent, so that this attempt cannot take effect. If the root was
	// rewritten, the attempt's objects may have been deleted.
	errInterrupted = errors.New("root or intent was rewritten during the commit")
)

type (
	// Status is the result of a commit.
	Status string

	// Store is the subset of the platform's key-value API that commits use.
	Store interface {
		Get(ctx context.Context, key string) (kqstore.Entry, error)
		Put(ctx context.Context, key string, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
		Swap(ctx context.Context, key string, expected kqstore.Revision, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
	}

	// Request is one change of the document by an operator.
	Request struct {
		// ID is the idempotency key; each ID is committed at most once.
		ID string
		// Base is the version that the operator edited; 0 is the empty document.
		Base   kqname.ConfigVersion
		Author string
		Reason string
		// At is the time of the request. Garbage collection computes the ages of
		// versions and intents from it.
		At       time.Time
		Document kqdocument.Document
	}

	// Outcome is the result of a commit as reported to the operator.
	Outcome struct {
		Status    Status `json:"status"`
		RequestID string `json:"request_id"`
		// Version is the committed version, with Conflict the current one and with
		// Unknown the one that the commit would create.
		Version kqname.ConfigVersion `json:"version"`
		// Problems accompanies ErrInvalid.
		Problems []kqdocument.Problem `json:"problems,omitempty"`
		// Difference is set by Commit with Conflict: the changes since the base or,
		// if the base cannot be read, those from the current document to the
		// request's. It is empty if the current document cannot be read.
		Difference []kqdocument.Change `json:"difference,omitempty"`
	}

	// Committer commits documents. It keeps no state between calls.
	Committer struct {
		store   Store
		backoff time.Duration
	}

	// Option configures a Committer.
	Option func(*Committer)

	// attempt is the state of one try to commit a request.
	attempt struct {
		request Request
		intent  intent
		// registered is set once a try of this call has written the intent.
		registered bool
		objects    kqresource.Objects
		// content is the root of the request's document, still without version,
		// parent and the request's ID, author, reason and time.
		content kqresource.Root
		// base and revision are the current root and its revision, as read at the
		// beginning of the attempt. If a newer root causes a conflict, base is set to it.
		base     kqresource.Root
		revision kqstore.Revision
	}
)

// WithBackoff sets the delay before the first retry of a write that failed; the n-th
// retry waits n times d, at most 4 times d.
func WithBackoff(d time.Duration) Option { return func(c *Committer) { c.backoff = d } }

// New returns a Committer that uses store.
func New(store Store, options ...Option) *Committer {
	c := &Committer{store: store, backoff: defaultBackoff}
	for _, o := range options {
		o(c)
	}
	return c
}

// ObjectKey returns the store key of an object.
func ObjectKey(d kqresource.Digest) string { return objectPrefix + d.String() }

// Commit validates the document and makes it the current version. An error, such as
// ErrInvalid, ErrInvalidRequest, ErrRequestIDReused, kqresource.ErrTooLarge or one of
// kqstore's, means that this call has committed nothing; otherwise the outcome's Status
// is the result.
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
	a := &attempt{request: q, content: content, objects: objects}
	for range maxCommitAttempts {
		o, err = c.commitOnce(ctx, a)
		if !errors.Is(err, errInterrupted) {
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
		return fmt.Errorf("id %q is not a plain name: %w", q.ID, ErrInvalidRequest)
	case len(q.Author) > maxTextBytes || len(q.Reason) > maxTextBytes:
		return fmt.Errorf("author or reason is longer than %d bytes: %w", maxTextBytes, ErrInvalidRequest)
	default:
		return nil
	}
}

// commitOnce makes one attempt to commit a request. It returns errInterrupted if
// another attempt is needed.
func (c *Committer) commitOnce(ctx context.Context, a *attempt) (Outcome, error) {
	content, err := contentDigest(a.content)
	if err != nil {
		return Outcome{}, err
	}
	// The root is read before the intent, which then holds the base of each commit that
	// led to this root.
	a.base, a.revision, err = c.Root(ctx)
	if err != nil {
		return Outcome{}, err
	}
	known, revision, version, err := c.lookupRequest(ctx, a.request.ID, content, a.base)
	switch {
	case err != nil:
		return Outcome{}, err
	case version != 0:
		return a.committed(version), nil
	case a.base.Version != a.request.Base:
		return c.withdraw(ctx, a, known, revision)
	case a.registered && !known.canReplace(a.request.Base):
		return c.conflict(ctx, a), nil
	}
	a.intent = known.withBase(a.request, content, a.objects)
	if err := c.registerIntent(ctx, a.intent, revision); err != nil {
		return Outcome{}, err
	}
	a.registered = true
	if err := c.writeObjectsAndHistory(ctx, a.base, a.objects); err != nil {
		return Outcome{}, err
	}
	return c.swapRoot(ctx, a)
}

// writeObjectsAndHistory writes the objects that the current root does not
// reference, and the current root's history record.
func (c *Committer) writeObjectsAndHistory(ctx context.Context, current kqresource.Root, objects kqresource.Objects) error {
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
	return c.writeHistory(ctx, current)
}

func (a *attempt) committed(v kqname.ConfigVersion) Outcome {
	return Outcome{Status: Committed, RequestID: a.request.ID, Version: v}
}

// unknown returns the outcome of a commit on top of a version that may still take effect.
func (a *attempt) unknown(base kqname.ConfigVersion) Outcome {
	return Outcome{Status: Unknown, RequestID: a.request.ID, Version: base + 1}
}

// conflict returns an outcome with the changes since the request's base. If the base
// cannot be read, it returns the changes from the current document to the request's,
// and none if the current document cannot be read either. If a concurrent call has
// committed the request meanwhile, conflict returns that outcome.
func (c *Committer) conflict(ctx context.Context, a *attempt) Outcome {
	o := Outcome{Status: Conflict, RequestID: a.request.ID, Version: a.base.Version}
	current, root, err := c.Document(ctx)
	if err != nil {
		return o
	}
	if root.RequestID == a.request.ID {
		return a.committed(root.Version)
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
