package kqsend

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqbody"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

const (
	// continueExpectation is the value of Expect that asks for an interim response before
	// the body is sent (RFC 9110, section 10.1.1).
	continueExpectation = "100-continue"
	// announcementParts divides the time until the call's deadline to get how long the peer's
	// answer to an announcement is awaited: another peer can still serve the call then.
	announcementParts = 2
)

// errBodyDeclined means that the peer does not want the body of a call.
var errBodyDeclined = errors.New("peer declined the body")

// announceBody sends the header of a call and waits until the peer asks for the body. After an
// error, the connection counts as one on which nothing has been written: a peer runs no call
// whose body it lacks.
func (n *connection) announceBody(call *kqcall.Call) error {
	err := n.requestContinue(call)
	if err != nil {
		n.written = 0
		return fmt.Errorf("announce body: %w", err)
	}
	return n.SetDeadline(call.Deadline)
}

func (n *connection) requestContinue(call *kqcall.Call) error {
	now := time.Now()
	if err := n.SetDeadline(now.Add(call.Deadline.Sub(now) / announcementParts)); err != nil {
		return err
	}
	h := &call.Request.Header
	h.SetContentLength(kqbody.Length(call.Request))
	h.Set(fasthttp.HeaderExpect, continueExpectation)
	err := h.Write(n.writer)
	h.Del(fasthttp.HeaderExpect)
	if err == nil {
		err = n.writer.Flush()
	}
	if err != nil {
		return err
	}
	var interim fasthttp.ResponseHeader
	if err := n.readHead(&interim); err != nil {
		return err
	}
	if interim.StatusCode() != fasthttp.StatusContinue {
		return fmt.Errorf("status %d: %w", interim.StatusCode(), errBodyDeclined)
	}
	return nil
}
