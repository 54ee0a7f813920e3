// Package kqsoak generates a fault plan from a seed, for a fleet of processes on one
// server. It uses neither a clock nor the network; package kqsoakrun injects the faults.
package kqsoak
