// Package kqreplay replays recorded traces through the decision packages and
// compares their state with the outcomes that a trace expects. It does not depend on
// any decision package: package kqplayers has a Player for each.
package kqreplay
