package kqcall

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Internal headers, all of which begin with "Kq-". They are removed from requests that come
// from outside and from upstreams' responses, which could otherwise pass for a node's.
const (
	// HeaderID, HeaderTimeout (in milliseconds) and HeaderDepth are sent to the
	// upstream, which may pass them on with its own calls; a dialect replaces them.
	// Nodes also put HeaderID into each response, to show which call it answers.
	HeaderID      = "Kq-Call-Id"
	HeaderTimeout = "Kq-Timeout-Ms"
	HeaderDepth   = "Kq-Depth"
	// HeaderResult and HeaderReason report to the caller how its call ended.
	HeaderResult = "Kq-Result"
	HeaderReason = "Kq-Reason"

	// HeaderCold and HeaderInstance are in upstreams' answers to health checks: for how many
	// milliseconds the upstream stays cold, and which one it is.
	HeaderCold     = "Kq-Cold-Ms"
	HeaderInstance = "Kq-Instance"
	// HeaderWorkspace tells the upstream which workspace the call is made for.
	HeaderWorkspace = "Kq-Workspace"

	// headerCall carries a call's fields from the entry to the gate; headerLoad carries
	// the upstream's load back.
	headerCall = "Kq-Call"
	headerLoad = "Kq-Load"
	// headerCold carries the call's Cold to the gate, unless its rate is 0.
	headerCold = "Kq-Cold"
	// headerWorkspace carries the call's workspace fields to the gate, if it has a workspace.
	headerWorkspace = "Kq-Tenant"
	// headerRetry carries Retry-After between nodes in milliseconds, since callers may
	// need it in another format. Callers get it too.
	headerRetry = "Kq-Retry-Ms"
	// headerStart reports the call's UpstreamStart to the calling node.
	headerStart = "Kq-Start"
	// headerStarved reports the call's Starved to the calling node.
	headerStarved = "Kq-Starved"

	// MaxDepth bounds how deeply calls may be nested, which ends a loop of services that
	// call each other.
	MaxDepth = 32

	// callFields is the number of fields of headerCall.
	callFields = 12
	// loadFields is the number of fields of a load. Gates of an earlier release send
	// only the first minLoadFields, and others the last one only with a slowdown.
	loadFields    = 8
	minLoadFields = 5
	// perMille is the scale at which a share is sent as an integer.
	perMille  = 1000
	separator = ';'
	// The flags stand for the call's Idempotent, Repeat and RefusalMeansNotRun.
	idempotentFlag = "i"
	repeatFlag     = "p"
	refusalFlag    = "r"
)

var (
	// ErrMalformed means that an internal header cannot be parsed.
	ErrMalformed = errors.New("malformed internal header")

	headerPrefix = []byte("Kq-")
)

// StripRequest removes all internal headers from a request and returns their number.
func StripRequest(h *fasthttp.RequestHeader) int {
	var found [][]byte
	for key := range h.All() {
		if isInternal(key) {
			found = append(found, bytes.Clone(key))
		}
	}
	for _, key := range found {
		h.DelBytes(key)
	}
	return len(found)
}

// StripResponse removes all internal headers from an upstream's response. With them, an
// upstream's failure could be taken for a call that did not run, and be retried.
func StripResponse(h *fasthttp.ResponseHeader) {
	var found [][]byte
	for key := range h.All() {
		if isInternal(key) {
			found = append(found, bytes.Clone(key))
		}
	}
	for _, key := range found {
		h.DelBytes(key)
	}
}

// Write puts the call's fields into its request, for the gate of another node.
func (c *Call) Write(now time.Time) {
	var space [256]byte
	b := space[:0]
	for _, field := range []string{
		string(c.ID), string(c.Caller), string(c.Route), string(c.Service), string(c.Version), string(c.Class),
		textIf(c.Idempotent, idempotentFlag) + textIf(c.Repeat, repeatFlag), textIf(c.RefusalMeansNotRun, refusalFlag), string(c.Origin),
	} {
		b = append(append(b, field...), separator)
	}
	b = append(strconv.AppendInt(b, c.Deadline.Sub(now).Microseconds(), 10), separator)
	b = append(strconv.AppendInt(b, int64(c.Depth), 10), separator)
	if !c.Target.IsZero() {
		b = strconv.AppendInt(b, c.Target.Sub(now).Microseconds(), 10)
	}
	c.Request.Header.SetBytesV(headerCall, b)
	c.Cold.write(&c.Request.Header)
	c.Hint.write(&c.Request.Header)
	c.writeWorkspace()
}

// Read returns the call whose fields Write put into a request, or ErrMalformed if they are
// missing or cannot be parsed. A target that cannot be parsed counts as none.
func Read(req *fasthttp.Request, resp *fasthttp.Response, now time.Time) (*Call, error) {
	fields, ok := splitFields(string(req.Header.Peek(headerCall)))
	if !ok {
		return nil, fmt.Errorf("split fields of %s: %w", headerCall, ErrMalformed)
	}
	timeout, err := strconv.ParseInt(fields[9], 10, 64)
	if err != nil {
		return nil, fmt.Errorf("parse remaining time: %w", errors.Join(ErrMalformed, err))
	}
	depth, err := strconv.Atoi(fields[10])
	if err != nil || depth < 0 || depth > MaxDepth {
		return nil, fmt.Errorf("parse depth: %w", errors.Join(ErrMalformed, err))
	}
	c := &Call{
		ID: ID(fields[0]), Caller: kqname.Caller(fields[1]), Route: kqname.Route(fields[2]),
		Service: kqname.Service(fields[3]), Version: kqname.UpstreamVersion(fields[4]), Class: kqdocument.Class(fields[5]),
		Idempotent: strings.Contains(fields[6], idempotentFlag), Repeat: strings.Contains(fields[6], repeatFlag), RefusalMeansNotRun: fields[7] == refusalFlag,
		Origin: kqname.Service(fields[8]), Depth: depth, Arrived: now, Deadline: now.Add(time.Duration(timeout) * time.Microsecond),
		Fingerprint: kqfingerprint.Of(req), Request: req, Response: resp,
	}
	if target, err := strconv.ParseInt(fields[11], 10, 64); err == nil {
		c.Target = now.Add(time.Duration(target) * time.Microsecond)
	}
	c.Cold, c.Hint = readColdStart(&req.Header), parseHint(string(req.Header.Peek(headerHint)))
	c.readWorkspace()
	if c.ID == "" || c.Service == "" {
		return nil, fmt.Errorf("call id or service is missing: %w", ErrMalformed)
	}
	return c, nil
}

// FindID returns the id of the call in a request's head as another node sends it, which may have
// arrived in part, or an empty one if the head does not have it.
func FindID(head []byte) ID {
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte{':'})
		if !bytes.EqualFold(name, []byte(headerCall)) {
			continue
		}
		id, _, complete := bytes.Cut(bytes.TrimSpace(value), []byte{';'})
		if complete {
			return ID(id)
		}
	}
	return ""
}

// ReadTimeLeft returns the time until the deadline of the call whose fields Write put into a
// request, 0 if it cannot be read.
func ReadTimeLeft(h *fasthttp.RequestHeader) time.Duration {
	fields, ok := splitFields(string(h.Peek(headerCall)))
	if !ok {
		return 0
	}
	microseconds, err := strconv.ParseInt(fields[9], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(microseconds) * time.Microsecond
}

// write puts the cold start into a request for a gate, if it has a rate.
func (s ColdStart) write(h *fasthttp.RequestHeader) {
	if s.Rate <= 0 {
		return
	}
	var space [48]byte
	b := append(strconv.AppendFloat(space[:0], s.Rate, 'g', -1, 64), separator)
	h.SetBytesV(headerCold, strconv.AppendInt(b, s.Duration.Milliseconds(), 10))
}

// readColdStart reads what write put into a request. It is empty if there is none or if it
// cannot be parsed.
func readColdStart(h *fasthttp.RequestHeader) ColdStart {
	rateText, durationText, _ := strings.Cut(string(h.Peek(headerCold)), string(separator))
	rate, rateErr := strconv.ParseFloat(rateText, 64)
	ms, durationErr := strconv.ParseInt(durationText, 10, 32)
	if rateErr != nil || durationErr != nil || !(rate > 0) || ms < 0 {
		return ColdStart{}
	}
	return ColdStart{Rate: rate, Duration: time.Duration(ms) * time.Millisecond}
}

// ReadPropagated reads the headers that a local upstream passed on from the call that it
// is running: the depth and the remaining time, each 0 if it is missing or invalid.
func ReadPropagated(h *fasthttp.RequestHeader) (depth int, left time.Duration) {
	depth, err := strconv.Atoi(string(h.Peek(HeaderDepth)))
	if err != nil || depth < 0 {
		depth = 0
	}
	ms, err := strconv.Atoi(string(h.Peek(HeaderTimeout)))
	if err != nil || ms <= 0 {
		return depth, 0
	}
	return depth, time.Duration(ms) * time.Millisecond
}

// WriteUpstreamHeaders replaces the header meant for the gate by the headers for the
// upstream. The remaining time that it states is at least 1 ms.
func (c *Call) WriteUpstreamHeaders(now time.Time) {
	h := &c.Request.Header
	h.Del(headerCall)
	h.Del(headerCold)
	h.Del(headerHint)
	h.Del(headerWorkspace)
	h.Del(fasthttp.HeaderExpect)
	if c.Dialect != nil {
		c.Dialect.WriteUpstreamHeaders(c, max(c.Deadline.Sub(now), time.Millisecond))
		return
	}
	h.Set(HeaderID, string(c.ID))
	h.Set(HeaderTimeout, strconv.FormatInt(max(c.Deadline.Sub(now).Milliseconds(), 1), 10))
	h.Set(HeaderDepth, strconv.Itoa(c.Depth))
	if c.Workspace != "" {
		h.Set(HeaderWorkspace, string(c.Workspace))
	}
}

// Answer writes the outcome into the call's response. If the outcome is not Answered, it
// replaces the whole response. It removes what WriteStarved and Load.Write put into the
// response, so that this does not reach a caller.
func (c *Call) Answer(o Outcome) {
	if o.Result != Answered {
		c.Response.Reset()
		c.Response.SetStatusCode(o.Status())
		c.Response.SetBodyString(string(o.Result) + ": " + string(o.Reason) + "\n")
	}
	h := &c.Response.Header
	h.Del(headerLoad)
	h.Del(headerStarved)
	h.Del(headerStart)
	h.Del(headerHint)
	h.Set(HeaderID, string(c.ID))
	h.Set(HeaderResult, string(o.Result))
	if o.Reason != NoReason {
		h.Set(HeaderReason, string(o.Reason))
	}
	if o.Status() == fasthttp.StatusUnauthorized && o.Result != Answered {
		h.Set(fasthttp.HeaderWWWAuthenticate, challenge)
	}
	if o.RetryAfter > 0 {
		format := wholeSeconds
		if c.Dialect != nil {
			format = c.Dialect.RetryAfter
		}
		h.Set(fasthttp.HeaderRetryAfter, format(o.RetryAfter))
		h.Set(headerRetry, strconv.FormatInt(o.RetryAfter.Milliseconds(), 10))
	}
}

// Outcome reads the outcome that Answer wrote into a response. It is Unknown if there is none.
func (c *Call) Outcome() Outcome {
	h := &c.Response.Header
	o := Outcome{Result: Result(h.Peek(HeaderResult)), Reason: Reason(h.Peek(HeaderReason))}
	switch o.Result {
	case Answered:
		return o
	case NotRun, Unknown:
	default:
		return UnknownOutcome(MalformedResponse)
	}
	if ms, err := strconv.Atoi(string(h.Peek(headerRetry))); err == nil {
		o.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return o
}

// WriteStarved writes Starved into the response, for the calling node's ReadStarved.
func (c *Call) WriteStarved() {
	if c.Starved {
		c.Response.Header.Set(headerStarved, "1")
	}
}

// ReadStarved sets Starved to the value that WriteStarved wrote into the response.
func (c *Call) ReadStarved() { c.Starved = len(c.Response.Header.Peek(headerStarved)) > 0 }

// WriteUpstreamStart writes UpstreamStart into the response, for the calling node's ReadUpstreamStart.
func (c *Call) WriteUpstreamStart() {
	if c.UpstreamStart != 0 {
		c.Response.Header.Set(headerStart, strconv.FormatUint(c.UpstreamStart, 36))
	}
}

// ReadUpstreamStart sets UpstreamStart to the value that WriteUpstreamStart wrote into the response,
// or to 0.
func (c *Call) ReadUpstreamStart() {
	start, err := strconv.ParseUint(string(c.Response.Header.Peek(headerStart)), 36, 64)
	if err != nil {
		start = 0
	}
	c.UpstreamStart = start
}

// Write puts the load into a response.
func (l Load) Write(h *fasthttp.ResponseHeader) {
	var space [64]byte
	b := space[:0]
	for _, n := range [...]int64{int64(l.Running), int64(l.Waiting), int64(l.Slots)} {
		b = append(strconv.AppendInt(b, n, 10), separator)
	}
	b = append(strconv.AppendInt(b, l.RecentDuration.Microseconds(), 10), separator)
	b = append(strconv.AppendInt(b, int64(l.FailureRate*perMille), 10), separator)
	b = append(strconv.AppendInt(b, l.ExpectedWork.Microseconds(), 10), separator)
	b = strconv.AppendInt(b, l.Wait.Microseconds(), 10)
	if l.Slowdown > 0 {
		b = strconv.AppendInt(append(b, separator), int64(l.Slowdown*perMille), 10)
	}
	h.SetBytesV(headerLoad, b)
}

// ReadLoad returns the load that Load.Write put into a response, and reports whether the
// response holds a valid one. Fields that an earlier release does not send are 0.
func ReadLoad(h *fasthttp.ResponseHeader) (Load, bool) {
	rest := h.Peek(headerLoad)
	var numbers [loadFields]int
	for i := range numbers {
		field, after, _ := bytes.Cut(rest, []byte{separator})
		n, err := strconv.Atoi(string(field))
		if i >= minLoadFields && len(field) == 0 {
			break
		}
		if err != nil || n < 0 {
			return Load{}, false
		}
		numbers[i], rest = n, after
	}
	return Load{
		Running: numbers[0], Waiting: numbers[1], Slots: numbers[2],
		RecentDuration: time.Duration(numbers[3]) * time.Microsecond, FailureRate: float64(numbers[4]) / perMille,
		ExpectedWork: time.Duration(numbers[5]) * time.Microsecond, Wait: time.Duration(numbers[6]) * time.Microsecond,
		Slowdown: min(float64(numbers[7])/perMille, maxSlowdown),
	}, true
}

// splitFields splits a header's value into the fields of a call, and reports false
// unless their number is exactly callFields.
func splitFields(text string) (fields [callFields]string, ok bool) {
	for i := range callFields - 1 {
		if fields[i], text, ok = strings.Cut(text, string(separator)); !ok {
			return fields, false
		}
	}
	fields[callFields-1] = text
	return fields, !strings.ContainsRune(text, separator)
}

// isInternal reports whether a header's name begins with the internal prefix, in any
// case.
func isInternal(key []byte) bool {
	return len(key) >= len(headerPrefix) && bytes.EqualFold(key[:len(headerPrefix)], headerPrefix)
}

// textIf returns text if set is true, else "".
func textIf(set bool, text string) string {
	if set {
		return text
	}
	return ""
}
