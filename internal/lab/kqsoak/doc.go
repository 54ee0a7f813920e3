// Package kqsoak draws a plan of faults from one seed, for a fleet of processes on
// one machine. It has neither clock nor network.
package kqsoak
