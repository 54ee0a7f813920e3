// Package kqlinger implements lingering close, so that the last response reaches
// the sender of the request. A server that refuses a large request early closes
// the connection while data still arrives; the kernel then sends a reset, which
// discards the response in the peer's receive buffer. The listener also limits the
// open connections per remote address.
package kqlinger
