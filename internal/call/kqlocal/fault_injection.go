//go:build kqfault

package kqlocal

import "github.com/kumquatgw/kumquatgw/internal/lab/kqfault"

// ignoresDraining makes the node ignore Draining in announcements, and so keep using an
// upstream that drains. Despite the fault's value, "goodbye", goodbyes (Gone) still apply.
var ignoresDraining = kqfault.Enabled(kqfault.IgnoreDraining)
