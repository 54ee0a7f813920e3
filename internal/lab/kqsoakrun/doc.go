// Package kqsoakrun plays a plan of faults against real processes on one machine, with
// callers at work, and checks meanwhile what callers and upstreams see.
package kqsoakrun
