// Package kqcallbench measures the latency and CPU time that kumquatgw adds to a
// call. The same calls go directly to an upstream, through one node and through
// two. The three paths alternate at each rate, so that other load on the server
// affects all of them alike. It does not cover overload: package kqloadbench does.
package kqcallbench
