// Package kqsighup keeps a node's process alive when it gets the reload signal, SIGHUP,
// during its start: by default the signal would end a process that does not listen for it
// yet. Main packages import it for its side effect.
package kqsighup

import (
	"os"
	"os/signal"
	"syscall"
)

// The channel is never read: settings are loaded after it is created, so that an earlier
// signal to reload them is redundant. This package imports few others, so that it is
// initialized before packages that take long to initialize.
var _ = catchHangup()

func catchHangup() chan os.Signal {
	c := make(chan os.Signal, 1)
	// Other commands must end when their terminal closes.
	if len(os.Args) > 1 && os.Args[1] == "node" {
		signal.Notify(c, syscall.SIGHUP)
	}
	return c
}
