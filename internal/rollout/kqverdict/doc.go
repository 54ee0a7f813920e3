// Package kqverdict compares a new upstream version with the old one over the
// same seconds, call by call as they come, by sequential tests that may be
// read at any time.
//
// Each test bets that the new version is bad in one way: that it fails more, is
// slower or has a longer tail, on one route or on all. If the version is good,
// a test's wealth passes 1/a with a probability of about a at most, at whatever
// moment one looks (Ville's inequality); the tests share the wealth that they
// start with. The figures' grounds are in docs/ROLLOUTS.md.
package kqverdict
