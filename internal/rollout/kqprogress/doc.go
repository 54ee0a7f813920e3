// Package kqprogress holds the progress of a rollout as a lattice: joining records
// in any order and any number of times gives the same result, so reordered,
// duplicated and stale messages cannot undo a step.
package kqprogress
