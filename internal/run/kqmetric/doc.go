// Package kqmetric holds the Prometheus metrics of a node. Label values come from
// fixed sets, so that callers cannot increase the number of time series. Other packages
// can register further metrics in the same registry.
package kqmetric
