package kqsuspicionlog

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
)

const (
	// linesPerSecond and maxBurst bound the lines of each kind. An upstream that ends has
	// several calls at work, each of which is suspected.
	linesPerSecond = 2
	maxBurst       = 40

	eventSuspected = "request_suspected"
	eventRefused   = "request_refused"
	eventCleared   = "request_cleared"
)

type (
	// Counter counts what becomes of requests.
	Counter interface {
		// RequestSuspected counts a request that becomes suspected, refused or cleared.
		RequestSuspected(event string)
		// SuspicionDropped counts an end that peers were not told of.
		SuspicionDropped()
		// LineSuppressed counts a line that exceeded its rate.
		LineSuppressed(kind string)
	}

	// Log implements kqsuspicion.Observer. It is safe for concurrent use.
	Log struct {
		log      *logrus.Entry
		counter  Counter
		limiters map[string]*rate.Limiter
	}
)

// New returns a Log that writes to log.
func New(log *logrus.Entry, counter Counter) *Log {
	l := &Log{log: log, counter: counter, limiters: make(map[string]*rate.Limiter)}
	for _, event := range []string{eventSuspected, eventRefused, eventCleared} {
		l.limiters[event] = rate.NewLimiter(linesPerSecond, maxBurst)
	}
	return l
}

// Suspected implements kqsuspicion.Observer.
func (l *Log) Suspected(s kqquarantine.Suspect, now time.Time) {
	l.write(eventSuspected, "An upstream ended under a request.", s, logrus.Fields{}, now)
}

// Refused implements kqsuspicion.Observer.
func (l *Log) Refused(s kqquarantine.Suspect, now time.Time) {
	l.write(eventRefused, "Request is refused: upstreams ended under it.", s, logrus.Fields{}, now)
}

// Cleared implements kqsuspicion.Observer.
func (l *Log) Cleared(s kqquarantine.Suspect, why string, now time.Time) {
	l.write(eventCleared, "Request is not suspected any more.", s, logrus.Fields{"why": why}, now)
}

// NewsDropped implements kqsuspicion.Observer.
func (l *Log) NewsDropped() { l.counter.SuspicionDropped() }

func (l *Log) write(event, text string, s kqquarantine.Suspect, fields logrus.Fields, now time.Time) {
	l.counter.RequestSuspected(event)
	if !l.limiters[event].AllowN(now, 1) {
		l.counter.LineSuppressed(event)
		return
	}
	fields["event"], fields["request"], fields["service"], fields["route"] = event, s.Request, s.Service, s.Route
	fields["upstreams"] = upstreams(s, now)
	l.log.WithFields(fields).Warn(text)
}

// upstreams lists the nodes beside which upstreams ended, and how long ago that was known.
func upstreams(s kqquarantine.Suspect, now time.Time) []map[string]any {
	list := make([]map[string]any, 0, len(s.Ends))
	for _, e := range s.Ends {
		list = append(list, map[string]any{
			"node": e.Upstream.Node, "confirmed": e.Certainty == kqquarantine.Confirmed, "ago_ms": now.Sub(e.Known).Milliseconds(),
		})
	}
	return list
}
