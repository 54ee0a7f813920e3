//go:build !kqfault

package kqsnapshot

// ignoresEvacuations makes the node ignore evacuations of failure domains. Only the soak test's
// build (tag kqfault) can set it.
const ignoresEvacuations = false
