package kqsend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqhead"
)

const (
	// MaxBufferedBody is the largest response body, in bytes, that is buffered whole: 6 MB
	// for 100 concurrent calls. Larger bodies, those of unknown length, and those that there is no
	// memory for are streamed.
	MaxBufferedBody = 64 << 10

	// chunkedLength and untilCloseLength are fasthttp's content lengths of chunked bodies
	// and of bodies that end with their connection.
	chunkedLength    = -1
	untilCloseLength = -2

	// maxInterim bounds the interim responses before a response. Without it, a peer that sends
	// them without end keeps a processor busy until the call's deadline.
	maxInterim = 16
	// maxTrailerBytes bounds what follows the last chunk of a body, for the same reason.
	maxTrailerBytes = bufferSize
)

var (
	errInterim = fmt.Errorf("over %d interim responses: %w", maxInterim, kqhead.ErrMalformed)
	errTrailer = fmt.Errorf("longer than %d bytes: %w", maxTrailerBytes, kqhead.ErrMalformed)
)

// responseStream is a response body that is streamed to the caller. Its connection is
// reused only if the body has been read to its end.
type responseStream struct {
	reader   io.Reader
	client   *Client
	conn     *connection
	call     *kqcall.Call
	length   int
	read     int
	complete bool
	closed   bool
	// failure is the error of an earlier read, nil if there was none.
	failure error
	// peerCloses is set if the peer closes the connection after this response.
	peerCloses bool
}

// readResponse reads the response's header, skipping interim responses (1xx), and a body
// of up to MaxBufferedBody; any other body is left to be streamed.
func (n *connection) readResponse(c *Client, call *kqcall.Call) error {
	r := call.Response
	r.Reset()
	for interim := 0; ; interim++ {
		if interim > maxInterim {
			return errInterim
		}
		if err := n.readHead(&r.Header); err != nil {
			return err
		}
		if r.StatusCode() >= fasthttp.StatusOK {
			break
		}
	}
	length := r.Header.ContentLength()
	switch status := r.StatusCode(); {
	case call.Request.Header.IsHead():
		r.SkipBody = true
		return nil
	case status == fasthttp.StatusNoContent, status == fasthttp.StatusNotModified:
		return nil
	case length >= 0 && length <= MaxBufferedBody:
		if buffer, ok := kqmemory.Of(call.Request).ResponseBuffer(length); ok {
			return n.readBody(r, buffer)
		}
	}
	if c.variesSilenceTimeout {
		// A part of this response reaches the caller, so no other response could replace
		// it if the peer were given up.
		n.setSilenceTimeout(true)
	}
	s := &responseStream{client: c, conn: n, call: call, length: length, peerCloses: length == untilCloseLength}
	switch length {
	case chunkedLength:
		s.reader = httputil.NewChunkedReader(n.reader)
	case untilCloseLength:
		s.reader = n.reader
	default:
		s.reader = io.LimitReader(n.reader, int64(length))
	}
	r.SetBodyStream(s, max(length, chunkedLength))
	return nil
}

// readBody reads a body into the buffer, which has its length.
func (n *connection) readBody(r *fasthttp.Response, buffer []byte) error {
	if _, err := io.ReadFull(n.reader, buffer); err != nil {
		return err
	}
	r.SetBodyRaw(buffer)
	return nil
}

// Read implements io.Reader. It repeats an error, since the HTTP library reads on after one that
// came with bytes.
func (s *responseStream) Read(b []byte) (count int, err error) {
	switch {
	case s.failure != nil:
		return 0, s.failure
	case s.complete:
		// Another read after the last chunk would wait for a second trailer.
		return 0, io.EOF
	}
	count, err = s.reader.Read(b)
	s.read += count
	switch atEnd := errors.Is(err, io.EOF); {
	case s.length >= 0 && s.read == s.length:
		s.complete = true
	case s.length >= 0 && atEnd:
		err = io.ErrUnexpectedEOF
	case s.length == chunkedLength && atEnd:
		trailerErr := skipTrailer(s.conn.reader)
		if s.complete = trailerErr == nil; !s.complete {
			err = fmt.Errorf("read trailer: %w", trailerErr)
		}
	case s.length == chunkedLength && isMalformedChunk(err):
		err = fmt.Errorf("read chunk: %w: %w", kqhead.ErrMalformed, err)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		s.fail(err)
	}
	return count, err
}

// fail records that the body cannot be read to its end.
func (s *responseStream) fail(err error) {
	s.failure = err
	// A response that is not read whole by its deadline may have a slow caller.
	if !isTimeout(err) && !s.call.Cancel.Done() {
		s.call.BodyFailed = true
		s.call.ResponseError = responseError(err)
	}
}

// Close implements io.Closer.
func (s *responseStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.client.finish(s.conn, s.call, s.peerCloses, !s.complete)
	if s.call.Finish != nil {
		s.call.Finish()
	}
	return nil
}

// skipTrailer reads what follows the last chunk, up to and including the empty line.
func skipTrailer(r *bufio.Reader) error {
	for read := 0; ; {
		line, err := r.ReadSlice('\n')
		if read += len(line); read > maxTrailerBytes || errors.Is(err, bufio.ErrBufferFull) {
			return errTrailer
		}
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		name, _, err := kqhead.ParseField(line)
		if err != nil || len(name) == 0 {
			return err
		}
	}
}

// isMalformedChunk reports whether an error of the reader of chunks is about what it has read, and
// not one of the connection.
func isMalformedChunk(err error) bool {
	var network net.Error
	return err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &network)
}
