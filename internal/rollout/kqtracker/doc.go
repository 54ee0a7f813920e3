// Package kqtracker holds a node's view of the rollouts in its configuration and
// applies it to calls: which version a call may go to, and which versions the
// gate still accepts calls for. Any node that detects a bad version stops
// sending calls to it at once, whether or not it owns the rollout and whether
// or not the platform answers.
package kqtracker
