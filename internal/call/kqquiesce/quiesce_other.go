//go:build !linux

package kqquiesce

import (
	"errors"
	"net"
)

// Quiesce returns errors.ErrUnsupported, since only Linux has socket filters.
func Quiesce(*net.TCPListener) error { return errors.ErrUnsupported }
