//go:build kqfault

package kqentry

import "github.com/kumquatgw/kumquatgw/internal/lab/kqfault"

// retriesNonIdempotent makes the entry retry calls that may have run even if they are
// not idempotent.
var retriesNonIdempotent = kqfault.Enabled(kqfault.Repeat)
