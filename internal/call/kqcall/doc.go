// Package kqcall defines a call, its outcomes, and the headers that carry both between
// callers, nodes and upstreams. It neither routes calls nor sends them.
package kqcall
