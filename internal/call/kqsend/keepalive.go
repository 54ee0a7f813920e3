package kqsend

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// idleTimeoutMargin is subtracted from the peer's stated idle timeout, so that a call sent
// at the last moment is read before the peer's timer fires. That timer also starts earlier
// than ours, by the time that the response takes to arrive.
const idleTimeoutMargin = 300 * time.Millisecond

// readKeepAlive sets the connection's idle timeout from the peer's Keep-Alive header, limit
// at most, and removes the header, which does not apply to the caller's connection.
// A call sent when the peer closes would be cut with an unknown outcome.
func (n *connection) readKeepAlive(h *fasthttp.ResponseHeader, limit time.Duration) {
	n.maxIdle = limit
	value := h.Peek(fasthttp.HeaderKeepAlive)
	if len(value) == 0 {
		return
	}
	if stated, ok := parseKeepAliveTimeout(value); ok {
		n.maxIdle = min(limit, stated-idleTimeoutMargin)
	}
	h.Del(fasthttp.HeaderKeepAlive)
}

// parseKeepAliveTimeout returns the timeout of a Keep-Alive header, which is in whole
// seconds.
func parseKeepAliveTimeout(value []byte) (time.Duration, bool) {
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
