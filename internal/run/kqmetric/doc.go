// Package kqmetric holds a node's counters and gauges. Label values come from
// fixed lists, so that no caller can make their number grow.
package kqmetric
