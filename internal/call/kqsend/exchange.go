package kqsend

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

const (
	// fullRetryAfter is what callers are told when all connections are in use.
	fullRetryAfter = time.Second
	// earlyFor bounds the reading of an answer that is there already, in case that
	// only a part of it is.
	earlyFor = 100 * time.Millisecond
)

// Do sends the call's request and reads its response. The outcome is Answered
// for any whole response, whatever its status.
func (c *Client) Do(call *kqcall.Call) kqcall.Outcome {
	n, err := c.acquire(call)
	if err != nil {
		return refusal(err, call.Deadline)
	}
	if !call.Cancel.Attach(n) {
		c.release(n)
		return kqcall.Refuse(call.Cancel.Reason())
	}
	settled := false
	defer func() {
		// A connection that a panic left in the midst of an exchange must be neither
		// used again nor counted for good.
		if !settled {
			call.Cancel.Attach(nil)
			c.drop(n)
		}
	}()
	o := c.settle(n, call, n.exchange(c, call))
	settled = true
	return o
}

// settle tells how an exchange ended, and keeps its connection or drops it.
func (c *Client) settle(n *connection, call *kqcall.Call, err error) kqcall.Outcome {
	if err != nil {
		call.Cancel.Attach(nil)
		c.drop(n)
		return n.judge(call, err)
	}
	if c.crossed(call) {
		call.Cancel.Attach(nil)
		call.Response.Reset()
		c.drop(n)
		return kqcall.Lose(kqcall.Crossed)
	}
	closes := call.Response.ConnectionClose()
	call.Response.Header.ResetConnectionClose()
	n.readKeepAlive(&call.Response.Header, c.idleFor)
	if a, ok := call.Response.BodyStream().(*answer); ok {
		a.closes = a.closes || closes
	} else {
		c.finish(n, call, closes, false)
	}
	return kqcall.OK()
}

// finish keeps a connection whose exchange is over, or drops it.
func (c *Client) finish(n *connection, call *kqcall.Call, closes, cut bool) {
	call.Cancel.Attach(nil)
	switch {
	case closes:
		// The peer is going; kept, its other connections would be closed by it
		// while a call is on its way.
		c.drop(n)
		c.Close()
	case cut, n.reader.Buffered() > 0, call.Cancel.Done():
		// Bytes that nobody asked for would be read as the next call's answer.
		c.drop(n)
	default:
		c.release(n)
	}
}

// crossed reports whether the response is another call's: one that came too
// late or that nobody asked for. HTTP itself does not tell them apart. A peer
// that names no call is believed unless it has to.
func (c *Client) crossed(call *kqcall.Call) bool {
	if c.belongs != nil {
		return !c.belongs(call)
	}
	echo := call.Response.Header.Peek(kqcall.HeaderID)
	if len(echo) == 0 {
		return c.echoes
	}
	return string(echo) != string(call.ID)
}

func (n *connection) exchange(c *Client, call *kqcall.Call) error {
	if err := n.SetDeadline(call.Deadline); err != nil {
		return err
	}
	if c.waitsLonger {
		n.setSilenceTimeout(!call.Idempotent)
	}
	err := write(call.Request, n.writer)
	if err == nil {
		err = n.writer.Flush()
	}
	if err != nil {
		return n.early(c, call, err)
	}
	return n.readAnswer(c, call)
}

// early reads the answer of a peer that gave it before it had taken the whole
// request, and closed. Left unread, it would be lost, and a call that the peer
// refused for its size, say, be told as one that may have run. What the peer sent
// came before the failure that the writing met, so there is nothing to wait for.
func (n *connection) early(c *Client, call *kqcall.Call, failed error) error {
	if n.written == 0 || timedOut(failed) || call.Cancel.Done() {
		return failed
	}
	if err := n.SetReadDeadline(earlier(call.Deadline, time.Now().Add(earlyFor))); err != nil {
		return failed
	}
	if err := n.readAnswer(c, call); err != nil {
		return failed
	}
	if a, ok := call.Response.BodyStream().(*answer); ok {
		// The writing has met the reset already, so that a body cut off by it would
		// look complete where it ends with its connection.
		a.closed = true
		call.Response.Reset()
		return failed
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

// write writes the request as it was read. The library's own way writes the path
// anew from what it has parsed, with dots and escapes resolved: the upstream would
// run another request than the caller sent.
func write(r *fasthttp.Request, w *bufio.Writer) error {
	body := r.Body()
	if len(body) > 0 || r.Header.ContentLength() >= 0 {
		r.Header.SetContentLength(len(body))
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	_, err := w.Write(body)
	return err
}

// judge tells how an exchange that failed ended. Only what failed before its
// first byte certainly did not run: the peer may act on a part of a request,
// and a peer that closed the connection may have read all of it before.
func (n *connection) judge(call *kqcall.Call, err error) kqcall.Outcome {
	cancelled := call.Cancel.Reason()
	switch {
	case n.written == 0 && cancelled != kqcall.NoReason:
		return kqcall.Refuse(cancelled)
	case n.written == 0:
		return refusal(err, call.Deadline)
	case cancelled != kqcall.NoReason:
		return kqcall.Lose(cancelled)
	case timedOut(err):
		return kqcall.Lose(kqcall.Timeout)
	default:
		return kqcall.Lose(kqcall.Cut)
	}
}

func refusal(err error, deadline time.Time) kqcall.Outcome {
	switch {
	case errors.Is(err, errFull):
		o := kqcall.Refuse(kqcall.QueueFull)
		o.RetryAfter = fullRetryAfter
		return o
	case !time.Now().Before(deadline):
		return kqcall.Refuse(kqcall.Late)
	default:
		return kqcall.Refuse(kqcall.ConnectFailed)
	}
}

func timedOut(err error) bool {
	var e net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &e) && e.Timeout()
}

// alive reports whether an idle connection can take a call. One whose peer has
// closed it is found here, before the first byte; written into, it would leave
// the call's end unknown.
func (n *connection) alive() bool {
	closed, readable := n.probe.Look()
	return !closed && !readable
}
