//go:build unix

package kqnode

import (
	"math"
	"syscall"
)

// descriptorLimit returns the process's limit of open descriptors, 0 if it has none.
func descriptorLimit() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur > math.MaxInt32 {
		return 0
	}
	return int(l.Cur)
}
