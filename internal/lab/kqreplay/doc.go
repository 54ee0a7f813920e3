// Package kqreplay runs recorded traces through the decision packages and
// compares what they decide with the outcomes that a trace states.
package kqreplay
