package kqcall

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

const (
	// HeaderLimit is in answers of upstreams that use the headers of this package: how many
	// calls a second the upstream takes from all nodes together, as a decimal number.
	HeaderLimit = "Kq-Limit"
	// HeaderLeaving is in such answers, with the value "1", if the upstream is about to exit.
	HeaderLeaving = "Kq-Leaving"

	leavingValue = "1"
	// maxLimitDigits is the length of the longest limit that is read, in bytes.
	maxLimitDigits = 32
	// maxQuoted is how many bytes of a value that cannot be read are quoted.
	maxQuoted = 40
)

// ErrCondition means that an upstream's answer states a limit or a departure that cannot be
// read.
var ErrCondition = errors.New("invalid condition of an upstream")

// Condition is what an upstream says of itself in an answer.
type Condition struct {
	// Limited reports whether the upstream names a limit. Limit is the number of calls a
	// second that it takes from all nodes together.
	Limited bool
	Limit   float64
	// Leaving reports whether the upstream is about to exit and takes no new calls.
	Leaving bool
	// Err is ErrCondition if a header cannot be read. What the header would have said is
	// unknown then.
	Err error
}

// ReadCondition reads an upstream's condition from its answer by the dialect or, if it is
// nil, by the headers of this package.
func ReadCondition(d Dialect, h *fasthttp.ResponseHeader) Condition {
	if d != nil {
		return d.ReadCondition(h)
	}
	return ParseCondition(h, HeaderLimit, HeaderLeaving)
}

// ParseCondition reads a condition from the headers of the given names.
func ParseCondition(h *fasthttp.ResponseHeader, limitHeader, leavingHeader string) Condition {
	var c Condition
	limitText, limited, limitErr := single(h, limitHeader)
	leavingText, leaving, leavingErr := single(h, leavingHeader)
	if limited && limitErr == nil {
		c.Limit, limitErr = parseLimit(limitText)
		c.Limited = limitErr == nil
	}
	if leaving && leavingErr == nil {
		if c.Leaving = leavingText == leavingValue; !c.Leaving {
			leavingErr = fmt.Errorf("%s %.*q: %w", leavingHeader, maxQuoted, leavingText, ErrCondition)
		}
	}
	c.Err = errors.Join(limitErr, leavingErr)
	return c
}

// single returns the value of a header and whether the response has it. A header that occurs
// twice is an error, even with equal values.
func single(h *fasthttp.ResponseHeader, name string) (value string, found bool, err error) {
	values := h.PeekAll(name)
	if len(values) == 0 {
		return "", false, nil
	}
	if len(values) > 1 {
		return "", true, fmt.Errorf("%s occurs %d times: %w", name, len(values), ErrCondition)
	}
	return strings.TrimSpace(string(values[0])), true, nil
}

// parseLimit parses a decimal number without sign or exponent.
func parseLimit(text string) (float64, error) {
	isDecimal := text != "" && len(text) <= maxLimitDigits && !strings.ContainsFunc(text, func(r rune) bool { return r != '.' && (r < '0' || r > '9') })
	limit, err := strconv.ParseFloat(text, 64)
	if !isDecimal || err != nil {
		return 0, fmt.Errorf("limit %.*q: %w", maxQuoted, text, ErrCondition)
	}
	return limit, nil
}
