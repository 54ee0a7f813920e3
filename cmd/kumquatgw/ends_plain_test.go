//go:build !race

package main_test

// memoryFactor is how much more memory a process may hold with the race detector.
const memoryFactor = 1

// crowdPart is how many times smaller crowds are with the race detector, which keeps some
// 200 KB for each connection and is many times slower: what it has no room and time for
// is tested without it.
const crowdPart = 1
