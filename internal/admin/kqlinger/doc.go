// Package kqlinger closes connections so that the last answer arrives. A server
// that refuses a request early, for its size, closes while the client still
// sends; the kernel then answers with a reset, and the client loses the refusal
// that lay in its buffer and sees only a broken connection.
package kqlinger
