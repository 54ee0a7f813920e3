//go:build !linux

package kqdisconnect

// isClosedBehindData reports false on systems without POLLRDHUP.
func isClosedBehindData(uintptr) bool { return false }
