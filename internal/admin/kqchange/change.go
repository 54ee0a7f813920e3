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

const settleAfter = time.Second

type (
	// Committer is the part of kqcommit that changes go through.
	Committer interface {
		Commit(ctx context.Context, q kqcommit.Request) (kqcommit.Outcome, error)
		Settle(ctx context.Context, id string) (kqcommit.Outcome, error)
		Document(ctx context.Context) (kqdocument.Document, kqresource.Root, error)
		DocumentAt(ctx context.Context, v kqname.ConfigVersion) (kqdocument.Document, error)
	}

	// Counter counts how changes ended.
	Counter interface {
		AdminDone(way string)
	}

	// Edit is one change of a document.
	Edit struct {
		// What names it in a few words, as in "put of routes.checkout".
		What string
		// Kind and Name are the item that the request's body holds, "" for the
		// whole document.
		Kind, Name string
		// Apply returns the document as it should become.
		Apply func(kqdocument.Document) (kqdocument.Document, error)
	}

	// Request is one change that an operator asks for.
	Request struct {
		Operator kqoperator.Operator
		// Source is the address it came from; Way is "api" or "console".
		Source, Way string
		// ID names the change; the same ID is committed once. "" draws one.
		ID string
		// Base is the version that was edited; nil takes the one in force.
		Base   *kqname.ConfigVersion
		Reason string
		// DryRun only tells what would change.
		DryRun bool
		Edit   Edit
	}

	// Result is what the operator is told of a change that was accepted.
	Result struct {
		RequestID  string               `json:"request_id"`
		Version    kqname.ConfigVersion `json:"version"`
		Committed  bool                 `json:"committed"`
		Difference []kqdocument.Change  `json:"difference"`
	}

	// Changer makes changes. It is safe for concurrent use.
	Changer struct {
		committer Committer
		audit     *kqaudit.Audit
		counter   Counter
	}
)

// New returns a changer that records what it does in audit.
func New(committer Committer, audit *kqaudit.Audit, counter Counter) *Changer {
	return &Changer{committer: committer, audit: audit, counter: counter}
}

// Do makes a change, or tells why not. After each problem but Unsettled nothing
// was changed by this request.
func (c *Changer) Do(ctx context.Context, q Request, now time.Time) (Result, *kqproblem.Problem) {
	if q.ID == "" {
		q.ID = uuid.NewString()
	}
	result, problem := c.do(ctx, q, now)
	if problem != nil {
		problem.RequestID = q.ID
	}
	if !q.DryRun {
		c.record(q, result, problem, now)
	}
	return result, problem
}

func (c *Changer) do(ctx context.Context, q Request, now time.Time) (Result, *kqproblem.Problem) {
	if !kqname.Valid(q.ID) {
		return Result{}, kqproblem.New(kqproblem.Malformed, "request_id is not a plain name")
	}
	if !q.DryRun {
		if result, problem, ended := c.repeated(ctx, q); ended {
			return result, problem
		}
	}
	current, root, err := c.committer.Document(ctx)
	if err != nil {
		return Result{}, problemOf(err)
	}
	if q.Base != nil && *q.Base != root.Version {
		return Result{}, c.stale(ctx, *q.Base, current, root.Version)
	}
	next, changes, problem := plan(q, current)
	if problem != nil {
		return Result{}, problem
	}
	result := Result{RequestID: q.ID, Version: root.Version, Difference: changes}
	if q.DryRun || len(changes) == 0 {
		return result, nil
	}
	o, err := c.committer.Commit(ctx, kqcommit.Request{
		ID: q.ID, Base: root.Version, Author: q.Operator.Name, Reason: q.Reason, At: now, Document: next,
	})
	if err != nil {
		return Result{}, problemOf(err)
	}
	return ended(o, result)
}

// repeated answers a request whose id was committed before: with the same edit
// it is the same request, whose answer may have been lost.
func (c *Changer) repeated(ctx context.Context, q Request) (Result, *kqproblem.Problem, bool) {
	o, err := c.committer.Settle(ctx, q.ID)
	if errors.Is(err, kqcommit.ErrNotBegun) || err == nil && o.Status != kqcommit.Committed {
		return Result{}, nil, false
	}
	if err != nil {
		return Result{}, problemOf(err), true
	}
	before, err := c.committer.DocumentAt(ctx, o.Version-1)
	if err != nil {
		return Result{}, reused(), true
	}
	after, err := c.committer.DocumentAt(ctx, o.Version)
	if err != nil {
		return Result{}, reused(), true
	}
	again, err := q.Edit.Apply(before)
	if err != nil || len(kqdocument.Diff(after, again)) > 0 || q.Base != nil && *q.Base != o.Version-1 {
		return Result{}, reused(), true
	}
	if p := permit(q.Operator, after, kqdocument.Diff(before, after)); p != nil {
		return Result{}, p, true
	}
	return Result{RequestID: q.ID, Version: o.Version, Committed: true, Difference: kqdocument.Diff(before, after)}, nil, true
}

// stale refuses an edit of an old version and tells what changed since.
func (c *Changer) stale(ctx context.Context, base kqname.ConfigVersion, current kqdocument.Document, version kqname.ConfigVersion) *kqproblem.Problem {
	p := kqproblem.New(kqproblem.Stale, fmt.Sprintf("version %d was edited, version %d is in force", base, version))
	p.Version = version
	if old, err := c.committer.DocumentAt(ctx, base); err == nil {
		p.Difference = kqdocument.Diff(old, current)
	}
	return p
}

func (c *Changer) record(q Request, result Result, problem *kqproblem.Problem, now time.Time) {
	r := kqaudit.Record{
		At: now, Operator: q.Operator.Name, Team: q.Operator.Team, Source: q.Source, Way: q.Way,
		What: q.Edit.What, Request: q.ID, Reason: q.Reason, Version: result.Version,
	}
	if problem != nil {
		r.Refused = problem.Code
	} else if result.Committed {
		c.counter.AdminDone(q.Way)
	}
	c.audit.Add(r)
}

// plan applies an edit and checks what comes of it.
func plan(q Request, current kqdocument.Document) (kqdocument.Document, []kqdocument.Change, *kqproblem.Problem) {
	next, err := q.Edit.Apply(current)
	if err != nil {
		return next, nil, problemOf(err)
	}
	changes := kqdocument.Diff(current, next)
	if p := permit(q.Operator, next, changes); p != nil {
		return next, nil, p
	}
	if problems := kqdocument.Validate(next); len(problems) > 0 {
		return next, nil, invalid(q.Edit, next, problems)
	}
	return next, changes, nil
}

func ended(o kqcommit.Outcome, result Result) (Result, *kqproblem.Problem) {
	switch o.Status {
	case kqcommit.Committed:
		result.Version, result.Committed = o.Version, true
		return result, nil
	case kqcommit.Conflict:
		p := kqproblem.New(kqproblem.Stale, fmt.Sprintf("version %d came first", o.Version))
		p.Version, p.Difference = o.Version, o.Difference
		return Result{}, p
	default:
		p := kqproblem.New(kqproblem.Unsettled, "ask again with the same request id")
		p.RetryAfter = settleAfter
		return Result{}, p
	}
}

func reused() *kqproblem.Problem {
	return kqproblem.New(kqproblem.Reused, "take a new request id for a new change")
}

func problemOf(err error) *kqproblem.Problem {
	switch {
	case errors.Is(err, ErrNoItem):
		return kqproblem.New(kqproblem.NotFound, err.Error())
	case errors.Is(err, ErrItem), errors.Is(err, kqcommit.ErrRequest):
		return kqproblem.New(kqproblem.Malformed, err.Error())
	case errors.Is(err, kqcommit.ErrReused):
		return reused()
	case errors.Is(err, kqcommit.ErrInvalid):
		return kqproblem.New(kqproblem.Invalid, err.Error())
	case errors.Is(err, kqresource.ErrTooLarge), errors.Is(err, kqstore.ErrTooLarge):
		return kqproblem.New(kqproblem.TooLarge, err.Error())
	case errors.Is(err, kqstore.ErrUnavailable), errors.Is(err, kqstore.ErrRateLimited), errors.Is(err, kqstore.ErrConflict):
		p := kqproblem.New(kqproblem.PlatformDown, err.Error())
		p.RetryAfter = settleAfter
		return p
	default:
		return kqproblem.New(kqproblem.Internal, err.Error())
	}
}
