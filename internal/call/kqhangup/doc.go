// Package kqhangup notices callers that went away while their call waits or
// runs, and cancels the call.
//
// The server's library reads nothing from a connection while a call is served,
// so a caller's disconnect would go unseen: the call would hold its place in a
// queue and a slot for nobody, which is most of the work in an overload whose
// callers have given up. Looking at each connection every 25 ms costs one
// system call for each call that has lasted that long, and none for the others.
package kqhangup
