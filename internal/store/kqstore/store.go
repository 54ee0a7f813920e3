package kqstore

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// MaxValueBytes is the largest value that the service holds, in bytes.
	MaxValueBytes = 1 << 20
	// NoLease is the lease of keys that last until they are deleted.
	NoLease Lease = ""
	// Absent is the revision of a key that does not exist.
	Absent Revision = 0
)

var (
	// namespace holds the package's error types; its errors are made once and carry
	// no stack.
	namespace = errorx.NewNamespace("kqstore").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// ErrNotFound tells that the key does not exist.
	ErrNotFound = namespace.NewType("not_found", errorx.NotFound()).New("key not found")
	// ErrConflict tells that the key's revision is not the expected one.
	ErrConflict = namespace.NewType("conflict").New("revision conflict")
	// ErrLeaseLapsed tells that the lease has lapsed or never was.
	ErrLeaseLapsed = namespace.NewType("lease_lapsed").New("lease lapsed")
	// ErrTooLarge tells that the value is over MaxValueBytes.
	ErrTooLarge = namespace.NewType("too_large").New("value is too large")
	// ErrUnavailable tells that the service did not answer. A write that fails
	// with it may or may not have taken effect.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary()).New("platform unavailable")
	// ErrCompacted tells that the changes after a revision are no longer kept, so
	// that the keys must be listed anew.
	ErrCompacted = namespace.NewType("compacted", errorx.Temporary()).New("history is gone")
	// ErrRateLimited tells that the service refused the call for its rate.
	ErrRateLimited = namespace.NewType("rate_limited", errorx.Temporary()).New("platform rate exceeded")
)

type (
	// Revision numbers the writes of a service; a key's revision is that of
	// its last write.
	Revision uint64

	// Lease names a lease; its keys are deleted when it lapses.
	Lease string

	// Entry is a key's value.
	Entry struct {
		Key      string   `json:"key"`
		Value    []byte   `json:"value"`
		Revision Revision `json:"revision"`
	}

	// Listing is a set of entries and the revision up to which it tells of
	// changes.
	Listing struct {
		Entries []Entry
		// Deleted are keys that were deleted; only Follow tells of them.
		Deleted  []string
		Revision Revision
	}

	// Lister lists and follows the keys that begin with a prefix.
	Lister interface {
		// List returns every entry under the prefix. Its revision is one at which
		// nothing newer than the entries was missed.
		List(ctx context.Context, prefix string) (Listing, error)
		// Follow waits until anything under the prefix changes after a revision
		// and returns what did. It returns ErrNotFound when nothing changes for
		// wait, and ErrCompacted when those changes are no longer kept.
		Follow(ctx context.Context, prefix string, after Revision, wait time.Duration) (Listing, error)
	}

	// Store is every verb of the service. Each call of it, a waiting watch
	// included, counts against the service's rates.
	Store interface {
		// Get returns a key's entry, or ErrNotFound.
		Get(ctx context.Context, key string) (Entry, error)
		// Put writes a key whatever its revision.
		Put(ctx context.Context, key string, value []byte, lease Lease) (Revision, error)
		// Swap writes a key whose revision is expected, and returns
		// ErrConflict where it is another; Absent expects no key.
		Swap(ctx context.Context, key string, expected Revision, value []byte, lease Lease) (Revision, error)
		// Delete removes a key whose revision is expected.
		Delete(ctx context.Context, key string, expected Revision) error
		// Grant returns a new lease that lapses unless renewed within ttl.
		Grant(ctx context.Context, ttl time.Duration) (Lease, error)
		// Renew starts the lease's time anew, or returns ErrLeaseLapsed.
		Renew(ctx context.Context, lease Lease) error
		// Watch waits until the key's revision is over after and returns the
		// entry; it returns ErrNotFound when the key stays as it was for wait.
		Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Entry, error)
	}
)
