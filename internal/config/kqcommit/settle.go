package kqcommit

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// swapRoot replaces the root and resolves lost responses. An unchanged root does
// not prove that the swap failed, since it may still be in flight. The same swap
// is therefore retried: whichever of the two is applied first makes the other
// fail on its revision, so the commit takes effect at most once. The outcome is
// Unknown if maxSwapAttempts tries do not resolve it.
func (c *Committer) swapRoot(ctx context.Context, a *attempt) (Outcome, error) {
	data, err := a.encodeRoot()
	if err != nil {
		return Outcome{}, err
	}
	responseLost := false
	for n := range maxSwapAttempts {
		c.waitBeforeRetry(ctx, n)
		_, err := c.store.Swap(ctx, RootKey, a.revision, data, kqstore.NoLease)
		if err == nil {
			return a.committed(a.request.Base + 1), nil
		}
		if !responseLost && isRejected(err) {
			return Outcome{}, fmt.Errorf("swap root: %w", err)
		}
		responseLost = responseLost || !errors.Is(err, kqstore.ErrConflict)
		o, resolved, err := c.resolveSwap(ctx, a)
		if resolved || err != nil {
			return o, err
		}
	}
	return a.unknown(a.request.Base), nil
}

// resolveSwap reads the root and reports whether it shows how the swap ended. It
// returns errInterrupted if a new attempt is needed.
func (c *Committer) resolveSwap(ctx context.Context, a *attempt) (Outcome, bool, error) {
	current, revision, err := c.Root(ctx)
	switch {
	case err != nil:
		return Outcome{}, false, nil //nolint:nilerr // The next try reads it again.
	case current.RequestID == a.request.ID:
		return a.committed(current.Version), true, nil
	case current.Version > a.request.Base:
		o, err := c.resolveReplaced(ctx, a, current)
		if err != nil {
			return Outcome{}, false, nil //nolint:nilerr // The next try reads it again.
		}
		return o, true, nil
	case revision > a.revision:
		// The collector or another call has rewritten the root. This attempt's objects
		// may have been deleted, and its swap can no longer take effect.
		return Outcome{}, false, errInterrupted
	default:
		return Outcome{}, false, nil
	}
}

// resolveReplaced returns the outcome of an attempt whose base has been replaced. It reads
// the intent again, since other calls with the same ID may have registered further bases.
func (c *Committer) resolveReplaced(ctx context.Context, a *attempt, current kqresource.Root) (Outcome, error) {
	latest, _, err := c.readIntent(ctx, a.request.ID)
	if err != nil && !errors.Is(err, kqstore.ErrNotFound) {
		return Outcome{}, err
	}
	for _, i := range []intent{a.intent, latest} {
		found, err := c.findVersion(ctx, i, current)
		if err != nil {
			return Outcome{}, err
		}
		if found != 0 {
			return a.committed(found), nil
		}
	}
	if latest.canReplace(current.Version) {
		return a.unknown(current.Version), nil
	}
	a.base = current
	return c.conflict(ctx, a), nil
}

// withdraw returns the outcome of a request whose base is not the current version: a
// conflict, once no earlier commit with the same ID can take effect any longer. known is
// the request's intent and revision the intent's revision.
//
// If an earlier commit may still replace the current root, withdraw first rewrites the
// root, which makes the swaps in flight fail on its revision. It then removes the base
// from the intent, which makes a commit that is still running give up instead of trying
// again on the rewritten root. The outcome is Unknown if the store does not confirm both,
// and withdraw returns errInterrupted if the root or the intent has changed meanwhile.
func (c *Committer) withdraw(ctx context.Context, a *attempt, known intent, revision kqstore.Revision) (Outcome, error) {
	if !known.canReplace(a.base.Version) {
		return c.conflict(ctx, a), nil
	}
	err := c.rewriteRoot(ctx, a.base, a.revision)
	if err == nil {
		err = c.writeIntent(ctx, known.withoutBase(a.base.Version), revision)
	}
	switch {
	case err == nil:
		return c.conflict(ctx, a), nil
	case errors.Is(err, kqstore.ErrConflict):
		return Outcome{}, fmt.Errorf("withdraw earlier commit: %w: %w", errInterrupted, err)
	default:
		return a.unknown(a.base.Version), nil
	}
}

// rewriteRoot writes the current root again, which makes every swap fail that expects the
// given revision. Before the first commit it writes the empty root of version 0. It returns
// kqstore.ErrConflict if the root has another revision.
func (c *Committer) rewriteRoot(ctx context.Context, root kqresource.Root, revision kqstore.Revision) error {
	data, err := kqresource.Encode(root)
	if err != nil {
		return err
	}
	if _, err := c.store.Swap(ctx, RootKey, revision, data, kqstore.NoLease); err != nil {
		return fmt.Errorf("rewrite root: %w", err)
	}
	return nil
}

// ResolveOutcome returns the outcome of an earlier commit whose response was lost,
// without its Difference. The outcome is Unknown while a base of the commit is still
// the current version, since a swap may be in flight; repeating the commit, with this
// base or another one, resolves it. ResolveOutcome returns ErrUnknownRequest for
// an ID without an intent, and kqstore's errors if the platform is unavailable; the call
// can then be retried.
func (c *Committer) ResolveOutcome(ctx context.Context, id string) (Outcome, error) {
	// The root is read before the intent, which then holds the base of each commit that
	// led to this root.
	current, _, err := c.Root(ctx)
	if err != nil {
		return Outcome{RequestID: id}, fmt.Errorf("settle %s: %w", id, err)
	}
	known, _, err := c.readIntent(ctx, id)
	if errors.Is(err, kqstore.ErrNotFound) {
		return Outcome{RequestID: id}, fmt.Errorf("settle %s: %w", id, ErrUnknownRequest)
	}
	if err != nil {
		return Outcome{RequestID: id}, fmt.Errorf("settle %s: %w", id, err)
	}
	found, err := c.findVersion(ctx, known, current)
	switch {
	case err != nil:
		return Outcome{RequestID: id}, fmt.Errorf("settle %s: %w", id, err)
	case found != 0:
		return Outcome{Status: Committed, RequestID: id, Version: found}, nil
	case known.canReplace(current.Version):
		return Outcome{Status: Unknown, RequestID: id, Version: current.Version + 1}, nil
	default:
		return Outcome{Status: Conflict, RequestID: id, Version: current.Version}, nil
	}
}

// findVersion returns the version that an intent was committed as, or 0. A swap
// on top of a base can only have created version base + 1, so one root per base
// is read, regardless of how many commits followed.
func (c *Committer) findVersion(ctx context.Context, i intent, current kqresource.Root) (kqname.ConfigVersion, error) {
	for _, base := range i.Bases {
		version := base + 1
		if version > current.Version {
			continue
		}
		root := current
		if version < current.Version {
			historyRecord, err := c.historyRecord(ctx, version)
			if err != nil {
				return 0, fmt.Errorf("find request %s: %w", i.ID, err)
			}
			root = historyRecord.Root
		}
		if root.RequestID == i.ID {
			return version, nil
		}
	}
	return 0, nil
}

// encodeRoot returns the encoded root that the attempt commits.
func (a *attempt) encodeRoot() ([]byte, error) {
	next := a.content
	next.Version = a.base.Version + 1
	next.RequestID, next.Author, next.Reason, next.At = a.request.ID, a.request.Author, a.request.Reason, a.request.At.UTC()
	if a.base.Version > 0 {
		data, err := kqresource.Encode(a.base)
		if err != nil {
			return nil, fmt.Errorf("encode parent: %w", err)
		}
		next.Parent = kqresource.DigestOf(data)
	}
	data, err := kqresource.Encode(next)
	if err != nil {
		return nil, fmt.Errorf("encode root: %w", err)
	}
	return data, nil
}

func (c *Committer) waitBeforeRetry(ctx context.Context, try int) {
	if try == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(try) * c.backoff):
	}
}

// isRejected reports whether an error proves that a write has not taken effect.
func isRejected(err error) bool {
	return errors.Is(err, kqstore.ErrRateLimited) || errors.Is(err, kqstore.ErrTooLarge)
}
