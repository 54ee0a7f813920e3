// Package kqfifo is the baseline that kqslots is measured against: one bounded FIFO queue
// for all calls, regardless of their caller and work.
package kqfifo
