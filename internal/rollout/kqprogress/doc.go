// Package kqprogress holds how far a rollout has come, as a lattice: joining
// two records in any order and any number of times gives the same record, so
// crossed, doubled and stale messages cannot undo a step.
package kqprogress
