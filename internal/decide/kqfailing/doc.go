// Package kqfailing tells which part of an upstream's calls fail.
//
// Load pattern: an upstream that fails part of its calls while its health check is
// good, in a large fleet. Each of 90 entries sends such an upstream a few calls in the
// seconds that it fails for, too few to judge it by, so that the fleet together goes on
// sending it its full share. Its gate sees all calls of all entries, and tells the part
// that fails with each answer, as it tells the load.
//
// Grounds for the figures: a share over the last 32 calls tells 10 in 100 from the
// usual 0.4 in 100 by the second failure, half a second at 40 calls a second. What
// is known loses half of its weight in 3 s without a call: once entries send elsewhere
// nobody sees the upstream become well, and it must get calls again to be seen.
package kqfailing
