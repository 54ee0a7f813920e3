// Package kqrecord writes one log line per call at the entry and at the gate, with
// the decision, its inputs and the outcome, for on-call engineers. Routine
// successes are sampled by the call's id, so that nodes with the same sampling rate log
// the same calls. Refusals, failures and calls that were retried are rate-limited per
// reason, and their suppressed lines are counted.
package kqrecord
