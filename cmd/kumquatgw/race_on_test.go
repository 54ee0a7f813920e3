//go:build race

package main_test

// raceFactor multiplies memory limits and some timeouts: the race detector is slower, and
// its shadow memory and goroutine records count as memory of the process.
const raceFactor = 3

// loadDivisor reduces the number and size of calls.
const loadDivisor = 10
