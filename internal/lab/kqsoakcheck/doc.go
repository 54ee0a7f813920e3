// Package kqsoakcheck judges calls by what their callers and the upstreams saw. It has
// neither clock nor network; times are counted from the start of a run.
package kqsoakcheck
