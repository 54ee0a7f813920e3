// Package kqsend sends calls over kept connections and tells how each exchange
// ended.
//
// A library's client sends some calls again by itself and does not say whether
// a byte had been written. Whether a call certainly did not run hangs on just
// that, so connections are kept here and each exchange is written and read in
// one place: certain is only what failed before its first byte. A connection
// whose exchange was cut, timed out or cancelled is closed, since the late
// answer would otherwise be read as the next call's.
package kqsend
