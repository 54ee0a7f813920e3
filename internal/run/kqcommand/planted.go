//go:build kqfault

package kqcommand

import "github.com/kumquatgw/kumquatgw/internal/lab/kqfault"

// dropsReload has a node that was told to stop take the reload signal no more.
var dropsReload = kqfault.Planted(kqfault.Reload)
