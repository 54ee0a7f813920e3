//go:build !kqfault

package kqlocal

// ignoresDraining makes the node keep using an upstream that drains. Only the soak
// test's build (tag kqfault) can set it.
const ignoresDraining = false
