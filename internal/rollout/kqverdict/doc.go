// Package kqverdict compares a new upstream version with the old one over the
// same seconds, using sequential tests on the calls as they arrive. Their result
// may be read at any time.
//
// Each test bets that the new version is bad in one way: that it fails more, is
// slower or has a longer tail, on one route or on all. If the version is good,
// the probability that a test's wealth ever exceeds 1/a is at most about a,
// however often it is checked (Ville's inequality). The tests share the initial
// wealth. The reasons for the constants are in docs/ROLLOUTS.md.
package kqverdict
