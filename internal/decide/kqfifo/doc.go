// Package kqfifo is the baseline that kqslots is compared with: one bounded FIFO queue for
// all calls, regardless of their caller and work. It is not meant for production.
package kqfifo
