//go:build !race

package main_test

// raceFactor multiplies the tests' memory bounds and some of their timeouts under the race
// detector.
const raceFactor = 1

// loadDivisor reduces the load under the race detector, which needs some 200 KB for each
// connection and is many times slower. The full load is tested without it.
const loadDivisor = 1
