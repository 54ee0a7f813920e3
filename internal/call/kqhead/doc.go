// Package kqhead checks the head of an HTTP/1.1 response, its status line and its fields,
// before the HTTP library reads it.
//
// The library repairs, skips or defaults some of what it cannot read. A response whose sender is
// in trouble would then reach the caller as a valid one: with another status, or with other
// bytes as its body. A head that this package accepts has one meaning only.
package kqhead
