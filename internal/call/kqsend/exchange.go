package kqsend

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqbody"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqhead"
)

const (
	// connectionLimitRetryAfter is the RetryAfter of calls refused because all connections
	// are in use, or because the peer has no room for their bodies.
	connectionLimitRetryAfter = time.Second
	// earlyResponseTimeout bounds reading a response that has already arrived, in case it
	// is incomplete.
	earlyResponseTimeout = 100 * time.Millisecond
)

// Do sends the call's request and reads its response. The outcome is Answered, whatever the
// response's status, if the response belongs to the call and has been read whole or, if its
// body is streamed, its header has been read.
func (c *Client) Do(call *kqcall.Call) kqcall.Outcome {
	n, err := c.acquire(call)
	if err != nil {
		return connectFailureOutcome(err, call.Deadline)
	}
	if !call.Cancel.SetConnection(n) {
		c.release(n)
		return kqcall.Refuse(call.Cancel.Reason())
	}
	completed := false
	defer func() {
		// After a panic during the exchange the connection must neither be reused nor
		// remain counted as open.
		if !completed {
			call.Cancel.SetConnection(nil)
			c.drop(n)
		}
	}()
	o := c.complete(n, call, n.exchange(c, call))
	completed = true
	return o
}

// complete returns the exchange's outcome and keeps or closes its connection. A streamed
// response keeps the connection until its body is closed.
func (c *Client) complete(n *connection, call *kqcall.Call, err error) kqcall.Outcome {
	if err != nil {
		call.Cancel.SetConnection(nil)
		c.drop(n)
		call.ResponseError = responseError(err)
		return n.failureOutcome(call, err)
	}
	if c.isMismatched(call) {
		call.Cancel.SetConnection(nil)
		call.Response.Reset()
		c.drop(n)
		return kqcall.UnknownOutcome(kqcall.MismatchedResponse)
	}
	peerCloses := call.Response.ConnectionClose()
	call.Response.Header.ResetConnectionClose()
	n.readKeepAlive(&call.Response.Header, c.idleTimeout)
	if s, ok := call.Response.BodyStream().(*responseStream); ok {
		s.peerCloses = s.peerCloses || peerCloses
	} else {
		c.finish(n, call, peerCloses, false)
	}
	return kqcall.OK()
}

// finish returns the connection of a completed exchange to the pool, or closes it.
func (c *Client) finish(n *connection, call *kqcall.Call, peerCloses, cut bool) {
	call.Cancel.SetConnection(nil)
	switch {
	case peerCloses:
		// The peer may be shutting down and would then close its other connections, possibly
		// while a call is being sent on one of them.
		c.drop(n)
		c.Close()
	case cut, n.reader.Buffered() > 0, call.Cancel.Done():
		// The rest of this response, or unsolicited bytes, would be read as the response to
		// the next call. A cancellation may have closed the connection.
		c.drop(n)
	default:
		c.release(n)
	}
}

// isMismatched reports whether the response belongs to another call, because it came late
// or unsolicited; HTTP/1.1 itself does not show that. A response without a call id is
// accepted unless the client requires one.
func (c *Client) isMismatched(call *kqcall.Call) bool {
	if c.matches != nil {
		return !c.matches(call)
	}
	responseID := call.Response.Header.Peek(kqcall.HeaderID)
	if len(responseID) == 0 {
		return c.requiresCallID
	}
	return string(responseID) != string(call.ID)
}

func (n *connection) exchange(c *Client, call *kqcall.Call) error {
	if err := n.SetDeadline(call.Deadline); err != nil {
		return err
	}
	if c.variesSilenceTimeout {
		n.setSilenceTimeout(!call.Idempotent)
	}
	var err error
	if c.announcedBody > 0 && kqbody.Length(call.Request) >= c.announcedBody {
		if err = n.announceBody(call); err != nil {
			return err
		}
		err = kqbody.Write(call.Request, n.writer)
	} else {
		err = writeRequest(call.Request, n.writer)
	}
	if err == nil {
		err = n.writer.Flush()
	}
	if err != nil {
		return n.readEarlyResponse(c, call, err)
	}
	return n.readResponse(c, call)
}

// readEarlyResponse reads the response of a peer that answered and closed before it had
// taken the whole request. Without it, a call that the peer refused for its size, for
// example, would be reported as one that may have run. The peer sent the response before
// the write failed, so there is no need to wait for it.
func (n *connection) readEarlyResponse(c *Client, call *kqcall.Call, writeErr error) error {
	if n.written == 0 || isTimeout(writeErr) || call.Cancel.Done() {
		return writeErr
	}
	if err := n.SetReadDeadline(earlier(call.Deadline, time.Now().Add(earlyResponseTimeout))); err != nil {
		return writeErr
	}
	if err := n.readResponse(c, call); err != nil {
		return writeErr
	}
	if s, ok := call.Response.BodyStream().(*responseStream); ok {
		// The peer has reset the connection, which may have truncated the body. One that
		// ends with its connection would look complete.
		s.closed = true
		call.Response.Reset()
		return writeErr
	}
	call.Response.SetConnectionClose()
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// writeRequest writes the request with its path as received. fasthttp's own method writes
// the parsed path, with dots and escapes resolved, so that the upstream would run another
// request than the caller sent.
func writeRequest(r *fasthttp.Request, w *bufio.Writer) error {
	if length := kqbody.Length(r); length > 0 || r.Header.ContentLength() >= 0 {
		r.Header.SetContentLength(length)
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	return kqbody.Write(r, w)
}

// failureOutcome returns the outcome of an exchange that failed. Only a call that failed
// before its first byte certainly did not run: the peer may act on part of a request, and
// may have read all of it before it closed the connection.
func (n *connection) failureOutcome(call *kqcall.Call, err error) kqcall.Outcome {
	cancelled := call.Cancel.Reason()
	switch {
	case n.written == 0 && cancelled != kqcall.NoReason:
		return kqcall.Refuse(cancelled)
	case n.written == 0:
		return connectFailureOutcome(err, call.Deadline)
	case cancelled != kqcall.NoReason:
		return kqcall.UnknownOutcome(cancelled)
	case errors.Is(err, kqhead.ErrMalformed):
		return kqcall.UnknownOutcome(kqcall.MalformedResponse)
	case isTimeout(err):
		return kqcall.UnknownOutcome(kqcall.Timeout)
	default:
		return kqcall.UnknownOutcome(kqcall.Cut)
	}
}

// responseError returns the error if it says that the response is malformed, else nil.
func responseError(err error) error {
	if errors.Is(err, kqhead.ErrMalformed) {
		return err
	}
	return nil
}

func connectFailureOutcome(err error, deadline time.Time) kqcall.Outcome {
	switch {
	case errors.Is(err, errConnectionLimit), errors.Is(err, errBodyDeclined), errors.Is(err, errNoMemory):
		o := kqcall.Refuse(kqcall.QueueFull)
		o.RetryAfter = connectionLimitRetryAfter
		return o
	case !time.Now().Before(deadline):
		return kqcall.Refuse(kqcall.NotStartedInTime)
	default:
		return kqcall.Refuse(kqcall.ConnectFailed)
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &e) && e.Timeout()
}

// isUsable reports whether an idle connection can take a call. A connection that the peer
// has closed must be found before the first byte is written; after that the outcome would
// be unknown. Bytes that have arrived unsolicited would be read as the response.
func (n *connection) isUsable() bool {
	closed, readable := n.probe.Peek()
	return !closed && !readable
}
