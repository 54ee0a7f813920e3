//go:build kqfault

package kqlocal

import "github.com/kumquatgw/kumquatgw/internal/lab/kqfault"

// ignoresDraining makes the node keep using an upstream that drains.
var ignoresDraining = kqfault.Enabled(kqfault.Goodbye)
