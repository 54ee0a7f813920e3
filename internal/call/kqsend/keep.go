package kqsend

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// closeMargin is left of the time for which a peer says that it keeps a connection: a
// call that is written later may cross the peer's close, and its end is then unknown.
// It covers the way there, and a process that is held up for two of its turns.
const closeMargin = 200 * time.Millisecond

// keptFor returns for how long the peer says that it keeps the connection without a
// call, or 0 where it does not say, and takes that word out: it is for this connection
// only, and passed on it would be taken to be of the next one.
func keptFor(h *fasthttp.ResponseHeader) time.Duration {
	value := h.Peek(fasthttp.HeaderKeepAlive)
	if len(value) == 0 {
		return 0
	}
	defer h.Del(fasthttp.HeaderKeepAlive)
	for _, field := range bytes.Split(value, []byte{','}) {
		name, count, _ := bytes.Cut(bytes.TrimSpace(field), []byte{'='})
		if !bytes.EqualFold(name, []byte("timeout")) {
			continue
		}
		if seconds, err := strconv.ParseUint(string(count), 10, 16); err == nil {
			return max(time.Duration(seconds)*time.Second, time.Nanosecond)
		}
	}
	return 0
}

// over reports whether the peer may be about to close the idle connection.
func (n *connection) over(now time.Time) bool {
	return n.keptFor > 0 && now.Sub(n.since) > n.keptFor-closeMargin
}
