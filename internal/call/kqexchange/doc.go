// Package kqexchange follows a connection's requests from their first byte to the last byte of
// their responses.
//
// A handler's begin and end are not enough to tell whether a connection may be closed: a request
// may have been read and not reached its handler, and a response may not have been written when
// the handler returns. Closing the connection then leaves a request that was read without a
// response.
package kqexchange
