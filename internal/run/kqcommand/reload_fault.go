//go:build kqfault

package kqcommand

import "github.com/kumquatgw/kumquatgw/internal/lab/kqfault"

// stopsHandlingReload makes a node that was signalled to stop no longer handle the
// reload signal SIGHUP, which then ends the process with its calls in flight. This is
// a deliberate bug that the soak must detect.
var stopsHandlingReload = kqfault.Enabled(kqfault.IgnoreReload)
