//go:build !kqfault

package kqcommand

// stopsHandlingReload is a fault that only builds with the tag kqfault can inject: a
// node that was signalled to stop no longer handles the reload signal SIGHUP, which
// then ends the process.
const stopsHandlingReload = false
