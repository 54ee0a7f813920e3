// Package kqcallbench measures the latency and CPU time that kumquatgw adds to a
// call. The same calls go directly to an upstream, through one node and through
// two. The three paths alternate within one run, so that other load on the server
// affects all of them alike.
package kqcallbench
