package kqsend

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// keepMargin is how long before its peer's own end a connection is given up: a call
// that is sent then is read before the peer's timer ends, whose time also began the
// way of an answer earlier.
const keepMargin = 300 * time.Millisecond

// readKeepAlive takes over for how long the peer says that it keeps the connection without a
// call, and takes it out of the response: it says nothing of the caller's. A call
// sent when the peer closes would be cut, and nobody could tell whether it ran.
func (n *connection) readKeepAlive(h *fasthttp.ResponseHeader, most time.Duration) {
	n.kept = most
	value := h.Peek(fasthttp.HeaderKeepAlive)
	if len(value) == 0 {
		return
	}
	if stated, ok := timeout(value); ok {
		n.kept = min(most, stated-keepMargin)
	}
	h.Del(fasthttp.HeaderKeepAlive)
}

// timeout reads the whole seconds that a Keep-Alive header states.
func timeout(value []byte) (time.Duration, bool) {
	for part := range bytes.SplitSeq(value, []byte{','}) {
		name, text, _ := bytes.Cut(part, []byte{'='})
		if !bytes.EqualFold(bytes.TrimSpace(name), []byte("timeout")) {
			continue
		}
		seconds, err := strconv.ParseUint(string(bytes.Trim(text, " \t\"")), 10, 31)
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}
