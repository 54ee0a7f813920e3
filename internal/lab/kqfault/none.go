//go:build !kqfault

package kqfault

// Planted reports that this program has no such fault.
func Planted(Kind) bool { return false }
