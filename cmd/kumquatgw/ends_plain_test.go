//go:build !race

package main_test

// memoryFactor is how much more memory a process may hold with the race detector.
const memoryFactor = 1
