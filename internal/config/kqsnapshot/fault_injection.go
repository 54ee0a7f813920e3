//go:build kqfault

package kqsnapshot

import "github.com/kumquatgw/kumquatgw/internal/lab/kqfault"

// ignoresEvacuations makes the node ignore evacuations of failure domains.
var ignoresEvacuations = kqfault.Enabled(kqfault.IgnoreEvacuation)
