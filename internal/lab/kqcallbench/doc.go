// Package kqcallbench measures what kumquatgw adds to a call: the same calls go
// straight to an upstream, through one node and through two, in turn within one
// run, so that whatever else the machine does touches all three alike.
package kqcallbench
