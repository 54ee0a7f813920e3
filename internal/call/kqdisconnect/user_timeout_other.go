//go:build !linux

package kqdisconnect

import (
	"net"
	"time"
)

// SetUserTimeout does nothing on systems without TCP_USER_TIMEOUT.
func SetUserTimeout(net.Conn, time.Duration) {}
