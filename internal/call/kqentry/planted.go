//go:build kqfault

package kqentry

import "github.com/kumquatgw/kumquatgw/internal/lab/kqfault"

// repeatsAll has calls sent again that may have run and are not idempotent.
var repeatsAll = kqfault.Planted(kqfault.Repeat)
