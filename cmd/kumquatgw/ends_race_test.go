//go:build race

package main_test

// memoryFactor is how much more memory a process may hold with the race detector, whose
// records of each byte and each goroutine count with it.
const memoryFactor = 3

const crowdPart = 10
