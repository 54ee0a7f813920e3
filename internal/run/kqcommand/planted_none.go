//go:build !kqfault

package kqcommand

// dropsReload has a node that was told to stop take the reload signal no more. No build but the soak's own has it.
const dropsReload = false
