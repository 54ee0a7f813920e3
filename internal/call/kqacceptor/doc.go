// Package kqacceptor keeps a listener accepting connections after a shortage of file
// descriptors or memory.
//
// HTTP servers take a failed Accept for the end of their listener, and a node leaves when
// one of its servers ends. A process that is out of file descriptors for a moment, as when
// very many callers connect at once, would then stop, with all its calls, under its highest
// load, and "too many open files" would be its last log line.
package kqacceptor
