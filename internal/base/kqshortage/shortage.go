// Package kqshortage tells a lack of the machine's own means from other failures.
//
// Both sides of a connection meet it: whoever accepts and whoever connects. It says
// nothing of the peer, and passes as other connections end.
package kqshortage

import (
	"errors"
	"syscall"
)

// lacks are the errors of a process without descriptors, and of a system without
// descriptors, buffers or memory for one more connection.
var lacks = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// Is reports whether a connection failed for want of the machine's own means.
func Is(err error) bool {
	for _, e := range lacks {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
