//go:build !kqfault

package kqfault

// Planted returns false: this build contains no injected faults.
func Planted(Kind) bool { return false }
