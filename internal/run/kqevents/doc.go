// Package kqevents keeps the few recent events of a process that explain most problems
// of its callers: its start, signals, the steps of its shutdown, and peers that restarted
// without announcing their departure.
package kqevents
