// Package kqsend is an HTTP/1.1 client with a connection pool that reports precisely how
// each exchange ended. A client sends to one address and does not retry: choosing the
// address and retrying calls are up to the packages that use it.
//
// Ordinary HTTP clients retry some requests by themselves and do not report whether any
// byte was written. Only a call that failed before its first byte is certain not to have
// run, so this package owns the connections and writes and reads each exchange itself. A
// connection whose exchange was cut, timed out or cancelled is closed: a late response
// would otherwise be read as the response to the next call.
package kqsend
