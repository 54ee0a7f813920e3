// Package kqstore describes the platform's key-value service as kumquatgw uses
// it: get, put, compare-and-swap on a revision, leases and waiting watches.
// Parts declare the few verbs they need; this package holds what those verbs
// pass and the errors that they return.
package kqstore
