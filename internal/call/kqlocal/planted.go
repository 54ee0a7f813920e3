//go:build kqfault

package kqlocal

import "github.com/kumquatgw/kumquatgw/internal/lab/kqfault"

// ignoresDrain has an upstream that drains used on.
var ignoresDrain = kqfault.Planted(kqfault.Goodbye)
