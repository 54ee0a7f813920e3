//go:build !linux

package kqhangup

import (
	"net"
	"time"
)

// Bound does nothing where the kernel has no such option.
func Bound(net.Conn, time.Duration) {}
