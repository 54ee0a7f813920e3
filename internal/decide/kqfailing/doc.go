// Package kqfailing tells which part of an upstream's calls fail.
//
// Load pattern: an upstream that fails part of its calls while its health check is
// good, in a large fleet. Each of 90 entries sends such an upstream a few calls in the
// seconds that it fails for, too few to judge it by, so that the fleet together goes on
// sending it its full share. Its gate sees all calls of all entries, and tells the part
// that fails with each answer, as it tells the load.
package kqfailing
