//go:build !kqfault

package kqfault

// Enabled returns false: this build contains no injected faults.
func Enabled(Kind) bool { return false }
