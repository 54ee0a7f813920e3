//go:build !kqfault

package kqentry

// retriesNonIdempotent makes the entry retry calls that may have run even if they are not
// idempotent, unless operators limit retries. Only the soak test's build (tag kqfault) can
// enable it.
const retriesNonIdempotent = false
