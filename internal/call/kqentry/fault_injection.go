//go:build kqfault

package kqentry

import "github.com/kumquatgw/kumquatgw/internal/lab/kqfault"

// retriesNonIdempotent makes the entry retry calls that may have run even if they are not
// idempotent, unless operators limit retries. The soak test enables this fault to check that
// it detects calls that ran twice.
var retriesNonIdempotent = kqfault.Enabled(kqfault.RetryNonIdempotent)
