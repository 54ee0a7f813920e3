package kqchange

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqaudit"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// retryDelay is the Retry-After of an unknown commit outcome and of an
// unavailable platform.
const retryDelay = time.Second

type (
	// Committer is the subset of kqcommit.Committer that changes need.
	Committer interface {
		Commit(ctx context.Context, q kqcommit.Request) (kqcommit.Outcome, error)
		ResolveOutcome(ctx context.Context, id string) (kqcommit.Outcome, error)
		Document(ctx context.Context) (kqdocument.Document, kqresource.Root, error)
		DocumentAt(ctx context.Context, v kqname.ConfigVersion) (kqdocument.Document, error)
	}

	// Counter counts requests whose change was committed, by them or by an earlier
	// attempt.
	Counter interface {
		AdminCommitted(way string)
	}

	// Edit is one modification of the document.
	Edit struct {
		// What describes the edit for the audit log, such as "put of
		// routes.checkout".
		What string
		// Kind and Name identify the edited item; both are "" if the edit
		// replaces the whole document.
		Kind, Name string
		// Apply returns the edited document.
		Apply func(kqdocument.Document) (kqdocument.Document, error)
	}

	// Request is an operator's request to change the document.
	Request struct {
		Operator kqoperator.Operator
		// Source is the address that sent the request. Way is the interface
		// that received it: "api" or "console".
		Source, Way string
		// ID is the idempotency key: one ID is committed at most once. If
		// empty, a random one is generated.
		ID string
		// Base is the version that the edit is based on; nil means the version
		// in force.
		Base   *kqname.ConfigVersion
		Reason string
		// DryRun checks the change and computes its difference without committing
		// it. Dry runs are not audited.
		DryRun bool
		Edit   Edit
	}

	// Result describes an accepted change.
	Result struct {
		RequestID string `json:"request_id"`
		// Version is the committed version, or the one in force if nothing was
		// committed.
		Version    kqname.ConfigVersion `json:"version"`
		Committed  bool                 `json:"committed"`
		Difference []kqdocument.Change  `json:"difference"`
	}

	// Changer checks and commits changes. It is safe for concurrent use.
	Changer struct {
		committer Committer
		audit     *kqaudit.Audit
		counter   Counter
	}
)

// New returns a changer that records accepted and refused changes in audit.
func New(committer Committer, audit *kqaudit.Audit, counter Counter) *Changer {
	return &Changer{committer: committer, audit: audit, counter: counter}
}

// Submit checks and commits a change. Unless the problem is OutcomeUnknown, a refused
// attempt has changed nothing; an earlier one with the same ID may have. After
// StaleVersion, no earlier one takes effect any longer.
func (c *Changer) Submit(ctx context.Context, q Request, now time.Time) (Result, *kqproblem.Problem) {
	if q.ID == "" {
		q.ID = uuid.NewString()
	}
	result, problem := c.submit(ctx, q, now)
	if problem != nil {
		problem.RequestID = q.ID
	}
	if !q.DryRun {
		c.recordAudit(q, result, problem, now)
	}
	return result, problem
}

func (c *Changer) submit(ctx context.Context, q Request, now time.Time) (Result, *kqproblem.Problem) {
	if !kqname.Valid(q.ID) {
		return Result{}, kqproblem.New(kqproblem.Malformed, "request_id is not a plain name")
	}
	earlier, err := c.earlierOutcome(ctx, q)
	if err != nil {
		return Result{}, problemOf(err)
	}
	if earlier.Status == kqcommit.Committed {
		return c.repeatedResult(ctx, q, earlier.Version)
	}
	current, root, err := c.committer.Document(ctx)
	if err != nil {
		return Result{}, problemOf(err)
	}
	base := root.Version
	if q.Base != nil {
		base = *q.Base
	}
	// An earlier attempt that may still take effect must be withdrawn before the change is
	// refused as stale. Commit does both.
	if base != root.Version && earlier.Status != kqcommit.Unknown {
		return Result{}, c.staleProblem(ctx, base, current, root.Version)
	}
	next, changes, problem := applyEdit(q, current)
	if problem != nil {
		return Result{}, problem
	}
	result := Result{RequestID: q.ID, Version: root.Version, Difference: changes}
	if q.DryRun || len(changes) == 0 {
		return result, nil
	}
	outcome, err := c.committer.Commit(ctx, kqcommit.Request{
		ID: q.ID, Base: base, Author: q.Operator.Name, Reason: q.Reason, At: now, Document: next,
	})
	if err != nil {
		return Result{}, problemOf(err)
	}
	return final(outcome, result)
}

// earlierOutcome returns the outcome of earlier attempts with the request's ID. Its status
// is empty if there were none and for a dry run.
func (c *Changer) earlierOutcome(ctx context.Context, q Request) (kqcommit.Outcome, error) {
	if q.DryRun {
		return kqcommit.Outcome{}, nil
	}
	outcome, err := c.committer.ResolveOutcome(ctx, q.ID)
	if errors.Is(err, kqcommit.ErrUnknownRequest) {
		return kqcommit.Outcome{}, nil
	}
	return outcome, err
}

// repeatedResult answers a request whose ID was committed before as the given version.
// The request is a retry after a lost response if it has the committed change's
// base, or none, and its edit yields the committed document. Otherwise the ID counts
// as reused, also if one of the documents to compare cannot be read. A retry gets the
// result only if its operator may make the change.
func (c *Changer) repeatedResult(ctx context.Context, q Request, version kqname.ConfigVersion) (Result, *kqproblem.Problem) {
	before, err := c.committer.DocumentAt(ctx, version-1)
	if err != nil {
		return Result{}, reusedProblem()
	}
	after, err := c.committer.DocumentAt(ctx, version)
	if err != nil {
		return Result{}, reusedProblem()
	}
	reapplied, err := q.Edit.Apply(before)
	if err != nil || len(kqdocument.Diff(after, reapplied)) > 0 || q.Base != nil && *q.Base != version-1 {
		return Result{}, reusedProblem()
	}
	if p := checkPermission(q.Operator, after, kqdocument.Diff(before, after)); p != nil {
		return Result{}, p
	}
	return Result{RequestID: q.ID, Version: version, Committed: true, Difference: kqdocument.Diff(before, after)}, nil
}

// staleProblem returns the refusal of an edit that is not based on the version in
// force. It has the changes committed since the base if the base can be read.
func (c *Changer) staleProblem(ctx context.Context, base kqname.ConfigVersion, current kqdocument.Document, version kqname.ConfigVersion) *kqproblem.Problem {
	p := kqproblem.New(kqproblem.StaleVersion, fmt.Sprintf("version %d was edited, version %d is in force", base, version))
	p.Version = version
	if old, err := c.committer.DocumentAt(ctx, base); err == nil {
		p.Difference = kqdocument.Diff(old, current)
	}
	return p
}

// recordAudit adds a submitted change to the audit log. It counts the change if it
// was committed, also by an earlier attempt of the same request.
func (c *Changer) recordAudit(q Request, result Result, problem *kqproblem.Problem, now time.Time) {
	r := kqaudit.Record{
		At: now, Operator: q.Operator.Name, Team: q.Operator.Team, Source: q.Source, Way: q.Way,
		What: q.Edit.What, Request: q.ID, Reason: q.Reason, Version: result.Version,
	}
	if problem != nil {
		r.Refused = problem.Code
	} else if result.Committed {
		c.counter.AdminCommitted(q.Way)
	}
	c.audit.Add(r)
}

// applyEdit applies an edit, checks the operator's permission and validates the
// edited document.
func applyEdit(q Request, current kqdocument.Document) (kqdocument.Document, []kqdocument.Change, *kqproblem.Problem) {
	next, err := q.Edit.Apply(current)
	if err != nil {
		return next, nil, problemOf(err)
	}
	changes := kqdocument.Diff(current, next)
	if p := checkPermission(q.Operator, next, changes); p != nil {
		return next, nil, p
	}
	if problems := kqdocument.Validate(next); len(problems) > 0 {
		return next, nil, validationProblem(q.Edit, next, problems)
	}
	return next, changes, nil
}

// final converts the outcome of a commit into the result of the change, or into
// the problem that refuses it.
func final(outcome kqcommit.Outcome, result Result) (Result, *kqproblem.Problem) {
	switch outcome.Status {
	case kqcommit.Committed:
		result.Version, result.Committed = outcome.Version, true
		return result, nil
	case kqcommit.Conflict:
		p := kqproblem.New(kqproblem.StaleVersion, fmt.Sprintf("version %d came first", outcome.Version))
		p.Version, p.Difference = outcome.Version, outcome.Difference
		return Result{}, p
	default:
		p := kqproblem.New(kqproblem.OutcomeUnknown, "ask again with the same request id")
		p.RetryAfter = retryDelay
		return Result{}, p
	}
}

func reusedProblem() *kqproblem.Problem {
	return kqproblem.New(kqproblem.RequestIDReused, "take a new request id for a new change")
}

func problemOf(err error) *kqproblem.Problem {
	switch {
	case errors.Is(err, ErrItemNotFound):
		return kqproblem.New(kqproblem.NotFound, err.Error())
	case errors.Is(err, ErrMalformedItem), errors.Is(err, kqcommit.ErrInvalidRequest):
		return kqproblem.New(kqproblem.Malformed, err.Error())
	case errors.Is(err, kqcommit.ErrRequestIDReused):
		return reusedProblem()
	case errors.Is(err, kqcommit.ErrInvalid):
		return kqproblem.New(kqproblem.Invalid, err.Error())
	case errors.Is(err, kqresource.ErrTooLarge), errors.Is(err, kqstore.ErrTooLarge):
		return kqproblem.New(kqproblem.TooLarge, err.Error())
	case errors.Is(err, kqstore.ErrUnavailable), errors.Is(err, kqstore.ErrRateLimited), errors.Is(err, kqstore.ErrConflict):
		// PlatformDown also covers a platform that limits the rate or is contended.
		p := kqproblem.New(kqproblem.PlatformDown, err.Error())
		p.RetryAfter = retryDelay
		return p
	default:
		return kqproblem.New(kqproblem.Internal, err.Error())
	}
}
