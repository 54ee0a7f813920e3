// Package kqacceptor accepts connections also after a shortage.
//
// Servers of libraries take a failed accept for the end of their listener, and a node
// one of whose servers ends leaves. A process that is out of file descriptors for a
// moment, as in a storm of callers, would so end with all calls that it has, and be
// gone just when it is needed most. One would see "too many open files" as the last
// word of a process.
package kqacceptor
