package kqsend

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqhead"
)

// maxQuoted is how many bytes of an error of the HTTP library are quoted.
const maxQuoted = 100

// errUpgrade means that a peer switches protocols, which no request asks for.
var errUpgrade = fmt.Errorf("status %d without a request for it: %w", fasthttp.StatusSwitchingProtocols, kqhead.ErrMalformed)

// readHead reads the head of a response, interim or final, once it has been found valid.
func (n *connection) readHead(h *fasthttp.ResponseHeader) error {
	if err := n.checkHead(); err != nil {
		return err
	}
	if err := h.Read(n.reader); err != nil {
		// The library's errors quote all that has been read.
		return fmt.Errorf("read head: %.*q: %w", maxQuoted, err.Error(), kqhead.ErrMalformed)
	}
	if h.StatusCode() == fasthttp.StatusSwitchingProtocols {
		return errUpgrade
	}
	return nil
}

// checkHead waits for a whole head, without taking it from the reader, and checks it.
func (n *connection) checkHead() error {
	var c kqhead.Checker
	for {
		// Peeking at what is buffered cannot fail.
		data, _ := n.reader.Peek(n.reader.Buffered())
		if length, err := c.Check(data); err != nil || length > 0 {
			return err
		}
		_, err := n.reader.Peek(len(data) + 1)
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			return fmt.Errorf("head is longer than %d bytes: %w", bufferSize, kqhead.ErrMalformed)
		case errors.Is(err, io.EOF) && len(data) > 0:
			return io.ErrUnexpectedEOF
		default:
			return err
		}
	}
}
