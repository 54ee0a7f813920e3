package kqstore

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// MaxValueBytes is the size limit of a value, in bytes.
	MaxValueBytes = 1 << 20
	// NoLease is the lease of keys that exist until they are deleted.
	NoLease Lease = ""
	// Absent is the revision of a key that does not exist.
	Absent Revision = 0
)

var (
	// namespace holds the package's error types. Its errors are created once, as
	// sentinels, and carry no stack trace.
	namespace = errorx.NewNamespace("kqstore").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// ErrNotFound is returned if the key does not exist, or if Watch or Follow found
	// no change to report.
	ErrNotFound = namespace.NewType("not_found", errorx.NotFound()).New("key not found")
	// ErrConflict is returned if the key's revision is not the expected one.
	ErrConflict = namespace.NewType("conflict").New("revision conflict")
	// ErrLeaseLapsed is returned if the lease has lapsed or never existed.
	ErrLeaseLapsed = namespace.NewType("lease_lapsed").New("lease lapsed")
	// ErrTooLarge is returned if the value exceeds MaxValueBytes.
	ErrTooLarge = namespace.NewType("too_large").New("value is too large")
	// ErrUnavailable is returned if the store reports that it is unavailable or gave no
	// usable answer: there was none, it could not be read, or its error code is unknown.
	// A write that fails with it may or may not have taken effect.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary()).New("platform unavailable")
	// ErrCompacted is returned if the changes after a revision are no longer kept, so
	// that the keys must be listed again.
	ErrCompacted = namespace.NewType("compacted", errorx.Temporary()).New("history has been compacted")
	// ErrRateLimited is returned if the store refused the call because of its rate
	// limit, or if the client's own limit did not admit it before its context ended.
	ErrRateLimited = namespace.NewType("rate_limited", errorx.Temporary()).New("platform rate limit exceeded")
)

type (
	// Revision numbers the changes of the store: writes and deletions, also those by
	// the lapse of a lease. A store may number other changes too, such as grants of
	// leases. A key's revision is that of its last write.
	Revision uint64

	// Lease identifies a lease. The keys written under it are deleted when it lapses.
	Lease string

	// Entry is a key with its value, its revision and the lease it was written under.
	Entry struct {
		Key      string   `json:"key"`
		Value    []byte   `json:"value"`
		Revision Revision `json:"revision"`
		Lease    Lease    `json:"lease,omitempty"`
	}

	// Listing is a set of entries and the revision up to which it includes all
	// changes.
	Listing struct {
		Entries []Entry
		// Deleted holds the deletions of keys; only Follow sets it. A key may have been
		// written again since, before or after Entries show it.
		Deleted  []Deletion
		Revision Revision
	}

	// Deletion is the deletion of a key, with its revision.
	Deletion struct {
		Key      string
		Revision Revision
	}

	// Lister lists and follows the keys that begin with a prefix.
	Lister interface {
		// List returns every entry under the prefix. Follow after the listing's
		// revision misses no change.
		List(ctx context.Context, prefix string) (Listing, error)
		// ListStale is like List, but costs the store less: its entries may be some seconds
		// old, some may be missing, and its revision has no meaning.
		ListStale(ctx context.Context, prefix string) (Listing, error)
		// Follow waits until anything under the prefix changes after a revision and
		// returns the changes. It returns ErrNotFound if nothing changes within wait,
		// and ErrCompacted if the changes are no longer kept.
		Follow(ctx context.Context, prefix string, after Revision, wait time.Duration) (Listing, error)
	}

	// Store provides the operations of the platform's key-value service on single
	// keys and leases. Each call, a waiting watch included, counts against the
	// service's rate limits.
	Store interface {
		// Get returns a key's entry, or ErrNotFound.
		Get(ctx context.Context, key string) (Entry, error)
		// GetStale is like Get, but costs the store less: its result may be some seconds
		// old.
		GetStale(ctx context.Context, key string) (Entry, error)
		// Put writes a key unconditionally.
		Put(ctx context.Context, key string, value []byte, lease Lease) (Revision, error)
		// Swap writes a key if its revision is the expected one, and returns
		// ErrConflict otherwise. Absent expects that the key does not exist.
		Swap(ctx context.Context, key string, expected Revision, value []byte, lease Lease) (Revision, error)
		// Delete removes a key if its revision is the expected one. It returns
		// ErrNotFound if the key does not exist, and ErrConflict if its revision is
		// another.
		Delete(ctx context.Context, key string, expected Revision) error
		// Grant returns a new lease that lapses unless renewed within ttl.
		Grant(ctx context.Context, ttl time.Duration) (Lease, error)
		// Renew extends the lease by its full ttl from now, or returns
		// ErrLeaseLapsed.
		Renew(ctx context.Context, lease Lease) error
		// Watch waits until the key's revision exceeds after and returns the entry.
		// It returns ErrNotFound if the key is not written within wait; a deletion is
		// not reported and may end the wait early.
		Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Entry, error)
	}
)
