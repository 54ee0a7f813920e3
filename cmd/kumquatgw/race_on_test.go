//go:build race

package main_test

// memoryFactor multiplies memory limits and some timeouts, since the race detector's
// shadow memory and goroutine records count as memory of the process.
const memoryFactor = 3

const loadDivisor = 10
