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
	return Outcome{Status: Unknown, RequestID: a.request.ID, Version: a.request.Base + 1}, nil
}

// resolveSwap reads the root and reports whether it shows how the swap ended. It
// returns errRootRewritten if a new attempt is needed.
func (c *Committer) resolveSwap(ctx context.Context, a *attempt) (Outcome, bool, error) {
	current, revision, err := c.Root(ctx)
	switch {
	case err != nil:
		return Outcome{}, false, nil //nolint:nilerr // The next try reads it again.
	case current.RequestID == a.request.ID:
		return a.committed(current.Version), true, nil
	case current.Version > a.request.Base:
		found, err := c.findVersion(ctx, a.intent, current)
		if err != nil {
			return Outcome{}, false, nil //nolint:nilerr // The next try reads it again.
		}
		if found != 0 {
			return a.committed(found), true, nil
		}
		a.base = current
		return c.conflict(ctx, a), true, nil
	case revision > a.revision:
		// The collector has rewritten the root. This attempt's objects may have
		// been deleted, and its swap can no longer take effect.
		return Outcome{}, false, errRootRewritten
	default:
		return Outcome{}, false, nil
	}
}

// ResolveOutcome returns the outcome of an earlier commit whose response was lost,
// without its Difference. The outcome is Unknown while a base of the commit is still
// the current version, since a swap may be in flight. ResolveOutcome returns
// ErrUnknownRequest for an ID without an intent, and kqstore's errors if the platform is
// unavailable; the call can then be retried.
func (c *Committer) ResolveOutcome(ctx context.Context, id string) (Outcome, error) {
	known, _, err := c.readIntent(ctx, id)
	if errors.Is(err, kqstore.ErrNotFound) {
		return Outcome{RequestID: id}, fmt.Errorf("settle %s: %w", id, ErrUnknownRequest)
	}
	if err != nil {
		return Outcome{RequestID: id}, fmt.Errorf("settle %s: %w", id, err)
	}
	current, _, err := c.Root(ctx)
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
