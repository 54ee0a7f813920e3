//go:build !unix

package kqnode

// descriptorLimit returns 0 on systems without such a limit.
func descriptorLimit() int { return 0 }
