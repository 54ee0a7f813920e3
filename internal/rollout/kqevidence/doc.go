// Package kqevidence counts the outcomes and latencies of calls to an old and a new
// upstream version, in cells of bounded size that can be summed over nodes.
package kqevidence
