package kqcall

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

const (
	// HeaderReport is in answers of upstreams that use the headers of this package: the
	// numbers of running and waiting calls and of slots and, as a fourth number, how long
	// work takes at this moment in percent of the usual, separated by commas.
	HeaderReport = "Kq-Server-Load"

	// maxReportedCalls and maxSlowdown bound what is believed of a report; a number beyond
	// counts as missing.
	maxReportedCalls = 100000
	maxSlowdown      = 100.0
	percent          = 100
)

// ReadReport reads an upstream's report of its load from its answer by the dialect or, if it
// is nil, by HeaderReport.
func ReadReport(d Dialect, h *fasthttp.ResponseHeader) ServerReport {
	if d != nil {
		return d.ReadReport(h)
	}
	return ParseReport(h, HeaderReport)
}

// ParseReport reads a report from the header of the given name. What cannot be read counts as
// missing: a header that occurs twice, numbers that are negative, too large or no numbers, or
// slots of 0.
func ParseReport(h *fasthttp.ResponseHeader, name string) ServerReport {
	var r ServerReport
	if len(h.Peek(name)) == 0 {
		return r
	}
	text, found, err := single(h, name)
	if err != nil || !found {
		return r
	}
	fields := strings.Split(text, ",")
	if len(fields) >= 3 {
		running, runningOK := parseCount(fields[0])
		waiting, waitingOK := parseCount(fields[1])
		slots, slotsOK := parseCount(fields[2])
		if runningOK && waitingOK && slotsOK && slots > 0 {
			r.HasLoad, r.Running, r.Waiting, r.Slots = true, running, waiting, slots
		}
	}
	if len(fields) == 4 {
		if n, err := strconv.ParseFloat(strings.TrimSpace(fields[3]), 64); err == nil && n > 0 && n <= maxSlowdown*percent {
			r.Slowdown = n / percent
		}
	}
	return r
}

func parseCount(text string) (int, bool) {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	return n, err == nil && n >= 0 && n <= maxReportedCalls
}
