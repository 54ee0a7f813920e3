// Package kqexhaustion detects connection failures that are caused by resource
// exhaustion on the local server.
//
// Both accept and connect can fail in this way. The failure says nothing about the
// peer, and usually ends when descriptors or memory are freed.
package kqexhaustion

import (
	"errors"
	"syscall"
)

// exhaustionErrors are the errors of a process that has no file descriptors left, and
// of a system that has no descriptors, buffers or memory left for a connection.
var exhaustionErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// Is reports whether a connection failed because of local resource exhaustion.
func Is(err error) bool {
	for _, e := range exhaustionErrors {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
