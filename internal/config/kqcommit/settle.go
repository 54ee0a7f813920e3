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

// swap exchanges the root and settles a lost answer. A root that still stands
// as before does not show that the swap failed: it may be under way. So the
// same swap is made again: whichever of the two comes first makes the other one
// fail by its revision, and the commit takes effect once at most.
func (c *Committer) swap(ctx context.Context, a *attempt) (Outcome, error) {
	data, err := a.root()
	if err != nil {
		return Outcome{}, err
	}
	lost := false
	for n := range swapTries {
		c.wait(ctx, n)
		_, err := c.store.Swap(ctx, RootKey, a.revision, data, kqstore.NoLease)
		if err == nil {
			return a.committed(a.request.Base + 1), nil
		}
		if !lost && refused(err) {
			return Outcome{}, fmt.Errorf("swap root: %w", err)
		}
		lost = lost || !errors.Is(err, kqstore.ErrConflict)
		o, settled, err := c.readBack(ctx, a)
		if settled || err != nil {
			return o, err
		}
	}
	return Outcome{Status: Unknown, RequestID: a.request.ID, Version: a.request.Base + 1}, nil
}

// readBack looks whether the root has become the attempt's or another's.
func (c *Committer) readBack(ctx context.Context, a *attempt) (Outcome, bool, error) {
	current, revision, err := c.Root(ctx)
	switch {
	case err != nil:
		return Outcome{}, false, nil //nolint:nilerr // Asked again by the next try.
	case current.RequestID == a.request.ID:
		return a.committed(current.Version), true, nil
	case current.Version > a.request.Base:
		found, err := c.find(ctx, a.intent, current)
		if err != nil {
			return Outcome{}, false, nil //nolint:nilerr // Asked again by the next try.
		}
		if found != 0 {
			return a.committed(found), true, nil
		}
		a.base = current
		return c.conflict(ctx, a), true, nil
	case revision > a.revision:
		// The collector has renewed the root; this attempt's objects may be
		// gone, and its swap can no longer take effect.
		return Outcome{}, false, errRenewed
	default:
		return Outcome{}, false, nil
	}
}

// Settle finds out how a commit ended whose answer was lost. It returns
// ErrNotBegun for an id that nobody used, and kqstore's errors where the
// platform does not answer; then the same can be asked again.
func (c *Committer) Settle(ctx context.Context, id string) (Outcome, error) {
	known, _, err := c.readIntent(ctx, id)
	if errors.Is(err, kqstore.ErrNotFound) {
		return Outcome{RequestID: id}, fmt.Errorf("settle %s: %w", id, ErrNotBegun)
	}
	if err != nil {
		return Outcome{RequestID: id}, fmt.Errorf("settle %s: %w", id, err)
	}
	current, _, err := c.Root(ctx)
	if err != nil {
		return Outcome{RequestID: id}, fmt.Errorf("settle %s: %w", id, err)
	}
	found, err := c.find(ctx, known, current)
	switch {
	case err != nil:
		return Outcome{RequestID: id}, fmt.Errorf("settle %s: %w", id, err)
	case found != 0:
		return Outcome{Status: Committed, RequestID: id, Version: found}, nil
	case known.mayTake(current.Version):
		return Outcome{Status: Unknown, RequestID: id, Version: current.Version + 1}, nil
	default:
		return Outcome{Status: Conflict, RequestID: id, Version: current.Version}, nil
	}
}

// find returns the version that an intent was committed as, or 0. A swap over
// base can only have made version base + 1, so one root a base is read, however
// many commits followed.
func (c *Committer) find(ctx context.Context, i intent, current kqresource.Root) (kqname.ConfigVersion, error) {
	for _, base := range i.Bases {
		version := base + 1
		if version > current.Version {
			continue
		}
		root := current
		if version < current.Version {
			past, err := c.past(ctx, version)
			if err != nil {
				return 0, fmt.Errorf("find request %s: %w", i.ID, err)
			}
			root = past.Root
		}
		if root.RequestID == i.ID {
			return version, nil
		}
	}
	return 0, nil
}

// root returns the bytes of the root that the attempt swaps in.
func (a *attempt) root() ([]byte, error) {
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

func (c *Committer) wait(ctx context.Context, try int) {
	if try == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(try) * c.pause):
	}
}

// refused reports whether an error says that a write has not taken effect.
func refused(err error) bool {
	return errors.Is(err, kqstore.ErrRateLimited) || errors.Is(err, kqstore.ErrTooLarge)
}
