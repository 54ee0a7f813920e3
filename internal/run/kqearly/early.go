// Package kqearly has a node's process outlive the reload signal from its first
// moment: whoever changes settings may signal a process that has just started, and by
// default it would end. It is for main packages, which import it for its effect.
package kqearly

import (
	"os"
	"os/signal"
	"syscall"
)

// taken is nothing that anybody reads: settings are read after it is made, so that a
// signal before them tells nothing new. It is made before the packages that take long
// to be ready, as this one needs few others.
var _ = taken()

func taken() chan os.Signal {
	c := make(chan os.Signal, 1)
	// Other commands end with their terminal.
	if len(os.Args) > 1 && os.Args[1] == "node" {
		signal.Notify(c, syscall.SIGHUP)
	}
	return c
}
