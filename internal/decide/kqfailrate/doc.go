// Package kqfailrate rates how many of an upstream's recent calls failed.
//
// Load pattern: in a large fleet, an upstream that fails part of its calls while its health
// check passes. Each of 90 entries sends it only a few calls during the seconds for which
// it fails. These are too few to detect the failures, so the entries together keep sending
// it its full share. Its gate sees the calls of all entries, and reports the failure rate
// with each answer, along with the load.
package kqfailrate
