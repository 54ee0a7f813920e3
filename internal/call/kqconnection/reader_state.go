package kqconnection

import "sync/atomic"

const (
	notReading int32 = iota
	reading
	// interrupted is the state while a connection is read that is to be closed, and closing once
	// that reading has ended.
	interrupted
	closing
)

// readerState keeps a connection from being closed while it is read. Otherwise the bytes of a request
// could be read, and the request be served, although its response can no longer be written. The zero
// value is the state of a connection that is not read.
type readerState struct{ state atomic.Int32 }

// begin records that the connection is about to be read, and reports whether it may be.
func (r *readerState) begin() bool { return r.state.CompareAndSwap(notReading, reading) }

// end records that the reading has ended.
func (r *readerState) end() {
	if !r.state.CompareAndSwap(reading, notReading) {
		r.state.Store(closing)
	}
}

// close records that the connection is to be closed, and reports false if it is being read.
func (r *readerState) close() bool {
	for {
		switch r.state.Load() {
		case reading:
			if r.state.CompareAndSwap(reading, interrupted) {
				return false
			}
		case interrupted:
			return false
		case closing:
			return true
		default:
			if r.state.CompareAndSwap(notReading, closing) {
				return true
			}
		}
	}
}
