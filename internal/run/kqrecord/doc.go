// Package kqrecord writes one log line per call at the entry and at the gate, with
// the decision, its inputs and the outcome, for on-call engineers. Routine
// successes are sampled by the call's id, so that all nodes log the same calls;
// refusals and failures are rate-limited per reason. Suppressed lines are counted.
package kqrecord
