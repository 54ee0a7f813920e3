//go:build race

package main_test

// raceFactor multiplies the tests' memory bounds and some of their timeouts: the race
// detector slows the process down, and its shadow memory and goroutine records count as
// memory of the process.
const raceFactor = 3

// loadDivisor divides the number of callers or the size of their bodies.
const loadDivisor = 10
