// Package kqrecord writes one log line for each call at the entry and at the gate
// that on-call engineers may ask about: what was decided, on which inputs, and how
// it ended. Ordinary successes are sampled by the call's id, so that all nodes keep
// the lines of the same calls; refusals and failures are kept up to a rate for each
// reason. What is left out is counted.
package kqrecord
