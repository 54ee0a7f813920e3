//go:build !linux

package kqquiesce

import (
	"errors"
	"net"
)

// Quiesce returns errors.ErrUnsupported: only Linux offers a filter for it.
func Quiesce(*net.TCPListener) error { return errors.ErrUnsupported }
