// Package kqbody limits the memory that a node uses for request bodies.
//
// Bodies are held whole until they are sent on. Callers that send large ones at the same
// time could exhaust a server's memory; the kernel would then kill the process and cut
// every call in flight.
package kqbody
