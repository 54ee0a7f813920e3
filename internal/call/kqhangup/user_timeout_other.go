//go:build !linux

package kqhangup

import (
	"net"
	"time"
)

// Bound does nothing on systems without TCP_USER_TIMEOUT.
func Bound(net.Conn, time.Duration) {}
