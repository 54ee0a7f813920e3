//go:build kqfault

package kqfault

import "os"

var enabled = Kind(os.Getenv(EnvVariable))

// Enabled reports whether this process runs with the given fault.
func Enabled(k Kind) bool { return enabled == k }
