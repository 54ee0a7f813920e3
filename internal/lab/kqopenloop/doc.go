// Package kqopenloop is an open-loop load generator: it sends calls at scheduled
// times, whether or not earlier calls have been answered. A closed-loop generator
// slows down with the system under test and so hides queueing delays (coordinated
// omission); here a call's latency starts at its scheduled time.
package kqopenloop
