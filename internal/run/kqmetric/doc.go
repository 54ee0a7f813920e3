// Package kqmetric holds the Prometheus metrics of a node. Label values come from
// fixed sets, so that callers cannot increase the number of time series.
package kqmetric
