package kqcall

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// maxRetryAfter bounds the delay that an upstream may give its callers.
const maxRetryAfter = 10 * time.Minute

// ReadRetryAfter returns the delay in a response's Retry-After header, in seconds that may
// have a fraction, or 0 if there is none. Dates are not read: they are by another clock.
func ReadRetryAfter(h *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.ParseFloat(string(h.Peek(fasthttp.HeaderRetryAfter)), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
