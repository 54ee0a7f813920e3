// Package kqcall defines a call, its outcomes, and the headers that carry it between
// callers, nodes and upstreams.
package kqcall
