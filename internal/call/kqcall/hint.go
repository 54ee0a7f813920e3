package kqcall

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// headerHint carries a Hint from a gate with its response, and back with later calls.
	headerHint = "Kq-Hint"
	// hintFields is the number of fields of a hint. The last one is the instance, which may
	// hold separators.
	hintFields = 4
)

// Hint is what a node knows of the condition of another node's upstream. Entries give it back
// to the gate, whose process may have started since and heard nothing yet.
type Hint struct {
	// Instance and StartedMS identify the start of the upstream.
	Instance  kqname.Instance
	StartedMS int64
	// Limited, Limit and Leaving are as in Condition.
	Limited bool
	Limit   float64
	Leaving bool
}

// IsZero reports whether there is nothing to tell.
func (n Hint) IsZero() bool { return !n.Limited && !n.Leaving }

// WriteResponse puts the hint into a gate's response.
func (n Hint) WriteResponse(h *fasthttp.ResponseHeader) {
	if !n.IsZero() {
		h.Set(headerHint, n.text())
	}
}

// ReadHint returns the hint in a gate's response, a zero one if there is none.
func ReadHint(h *fasthttp.ResponseHeader) Hint { return parseHint(string(h.Peek(headerHint))) }

// write puts the hint into a request for a gate, in place of the one for another gate that
// the call was sent to before.
func (n Hint) write(h *fasthttp.RequestHeader) {
	if n.IsZero() {
		h.Del(headerHint)
		return
	}
	h.Set(headerHint, n.text())
}

func (n Hint) text() string {
	limit := ""
	if n.Limited {
		limit = strconv.FormatFloat(n.Limit, 'f', -1, 64)
	}
	return strings.Join([]string{strconv.FormatInt(n.StartedMS, 10), limit, textIf(n.Leaving, leavingValue), string(n.Instance)}, string(separator))
}

// parseHint returns the hint of a text, a zero one if it cannot be read.
func parseHint(text string) Hint {
	fields := strings.SplitN(text, string(separator), hintFields)
	if len(fields) != hintFields {
		return Hint{}
	}
	startedMS, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return Hint{}
	}
	n := Hint{StartedMS: startedMS, Leaving: fields[2] == leavingValue, Instance: kqname.Instance(fields[3])}
	if fields[1] != "" {
		if n.Limit, err = parseLimit(fields[1]); err != nil {
			return Hint{}
		}
		n.Limited = true
	}
	return n
}
