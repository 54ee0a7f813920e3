//go:build !kqfault

package kqsuspicion

// These make the node forget ends, tell nobody of them, or blame all calls without an answer. Only
// the soak test's build (tag kqfault) can set them.
const (
	forgetsEnds = false
	tellsNobody = false
	blamesAll   = false
)
