//go:build kqfault

package kqfault

import "os"

var planted = Kind(os.Getenv(Variable))

// Planted reports whether this process runs with the given fault.
func Planted(k Kind) bool { return planted == k }
