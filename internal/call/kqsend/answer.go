package kqsend

import (
	"bufio"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

const (
	// Bound is the size up to which an answer's body is buffered whole, in
	// bytes: at 100 calls at once a node holds 6 MB. Larger bodies, and those of
	// unknown length, are streamed.
	Bound = 64 << 10

	chunked = -1
	toClose = -2
)

// answer is a response's body that is passed on while it comes. Its connection
// is kept for the next call only once all of it has been read.
type answer struct {
	reader io.Reader
	client *Client
	conn   *connection
	call   *kqcall.Call
	length int
	read   int
	whole  bool
	closed bool
	// closes tells that the peer closes the connection after this answer.
	closes bool
}

// readAnswer reads the response's head and, if it is small, its body; a larger
// one is left to be streamed.
func (n *connection) readAnswer(c *Client, call *kqcall.Call) error {
	r := call.Response
	r.Reset()
	for {
		if err := r.Header.Read(n.reader); err != nil {
			return err
		}
		if r.StatusCode() >= fasthttp.StatusOK || r.StatusCode() == fasthttp.StatusSwitchingProtocols {
			break
		}
	}
	length := r.Header.ContentLength()
	switch status := r.StatusCode(); {
	case call.Request.Header.IsHead():
		r.SkipBody = true
		return nil
	case status < fasthttp.StatusOK, status == fasthttp.StatusNoContent, status == fasthttp.StatusNotModified:
		return nil
	case length >= 0 && length <= Bound:
		return r.ReadBody(n.reader, 0)
	}
	if c.waitsLonger {
		// Its first part goes to the caller, so that no other upstream can give it.
		n.setSilenceTimeout(true)
	}
	a := &answer{client: c, conn: n, call: call, length: length, closes: length == toClose}
	switch length {
	case chunked:
		a.reader = httputil.NewChunkedReader(n.reader)
	case toClose:
		a.reader = n.reader
	default:
		a.reader = io.LimitReader(n.reader, int64(length))
	}
	r.SetBodyStream(a, max(length, chunked))
	return nil
}

// Read implements io.Reader.
func (a *answer) Read(b []byte) (int, error) {
	// Read again after the last chunk, the trailer would be waited for twice.
	if a.whole {
		return 0, io.EOF
	}
	count, err := a.reader.Read(b)
	a.read += count
	switch {
	case a.length >= 0 && a.read == a.length:
		a.whole = true
	case a.length >= 0 && err == io.EOF:
		err = io.ErrUnexpectedEOF
	case a.length == chunked && err == io.EOF:
		if trailed := skipTrailer(a.conn.reader); trailed != nil {
			return count, fmt.Errorf("read trailer: %w", trailed)
		}
		a.whole = true
	}
	return count, err
}

// Close implements io.Closer.
func (a *answer) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	a.client.finish(a.conn, a.call, a.closes, !a.whole)
	if a.call.Finish != nil {
		a.call.Finish()
	}
	return nil
}

// skipTrailer reads what follows the last chunk, up to the empty line.
func skipTrailer(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			return nil
		}
	}
}
