//go:build kqfault

package kqfault

import "os"

var planted = Kind(os.Getenv(Variable))

// Planted reports whether this process has that fault.
func Planted(k Kind) bool { return planted == k }
