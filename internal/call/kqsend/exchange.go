package kqsend

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqhangup"
)

// fullRetryAfter is what callers are told when all connections are in use.
const fullRetryAfter = time.Second

// Do sends the call's request and reads its response. The outcome is Answered
// for any whole response, whatever its status.
func (c *Client) Do(call *kqcall.Call) kqcall.Outcome {
	n, err := c.acquire()
	if err != nil {
		return refusal(err, call.Deadline)
	}
	if !call.Cancel.Attach(n) {
		c.release(n)
		return kqcall.Refuse(kqcall.Cancelled)
	}
	err = n.exchange(call)
	call.Cancel.Attach(nil)
	if err != nil {
		c.drop(n)
		return n.judge(call, err)
	}
	// Bytes that nobody asked for would be read as the next call's answer.
	if call.Response.ConnectionClose() || n.reader.Buffered() > 0 || call.Cancel.Done() {
		c.drop(n)
	} else {
		c.release(n)
	}
	call.Response.Header.ResetConnectionClose()
	return kqcall.OK()
}

func (n *connection) exchange(call *kqcall.Call) error {
	if err := n.SetDeadline(call.Deadline); err != nil {
		return err
	}
	if err := call.Request.Write(n.writer); err != nil {
		return err
	}
	if err := n.writer.Flush(); err != nil {
		return err
	}
	call.Response.Reset()
	call.Response.SkipBody = call.Request.Header.IsHead()
	return call.Response.Read(n.reader)
}

// judge tells how an exchange that failed ended. Only what failed before its
// first byte certainly did not run: the peer may act on a part of a request,
// and a peer that closed the connection may have read all of it before.
func (n *connection) judge(call *kqcall.Call, err error) kqcall.Outcome {
	cancelled := call.Cancel.Done()
	switch {
	case n.written == 0 && cancelled:
		return kqcall.Refuse(kqcall.Cancelled)
	case n.written == 0:
		return refusal(err, call.Deadline)
	case cancelled:
		return kqcall.Lose(kqcall.Cancelled)
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
	closed, readable := kqhangup.Closed(n.raw)
	return !closed && !readable
}
