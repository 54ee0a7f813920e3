// Package kqreplay replays recorded traces through the decision packages and
// compares their state with the outcomes that a trace expects.
package kqreplay
