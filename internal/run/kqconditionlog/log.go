package kqconditionlog

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// linesPerSecond and maxBurst bound the lines of each kind. An upstream may change its
	// limit, or send one that cannot be read, with each answer.
	linesPerSecond = 1
	maxBurst       = 10
	// maxEndsBurst is larger, since an upstream that ends has several calls at work.
	maxEndsBurst = 40
)

type (
	// Counter counts the calls to upstreams that name a limit.
	Counter interface {
		// LimitNamed sets the limit of a local upstream, in calls a second.
		LimitNamed(service kqname.Service, version kqname.UpstreamVersion, limit float64)
		// LimitEnded removes the limit of a local upstream.
		LimitEnded(service kqname.Service, version kqname.UpstreamVersion)
		// LimitedCall counts a call for an upstream that names a limit, as sent or refused.
		LimitedCall(sent bool)
		// EndedUnderCall counts a call whose upstream ended while it ran the call.
		EndedUnderCall()
		// LineSuppressed counts a line that exceeded its rate.
		LineSuppressed(kind string)
	}

	// Log implements kqgate.ConditionRecorder. It is safe for concurrent use.
	Log struct {
		log     *logrus.Entry
		counter Counter
		// limits, ends, invalid and malformed are the rate limits of the lines on limits, on
		// requests under which upstreams ended, on conditions that cannot be read and on
		// responses that are no valid HTTP.
		limits, ends, invalid, malformed *rate.Limiter
	}
)

// New returns a Log that writes to log.
func New(log *logrus.Entry, counter Counter) *Log {
	return &Log{
		log: log, counter: counter, limits: rate.NewLimiter(linesPerSecond, maxBurst), ends: rate.NewLimiter(linesPerSecond, maxEndsBurst),
		invalid: rate.NewLimiter(linesPerSecond, maxBurst), malformed: rate.NewLimiter(linesPerSecond, maxBurst),
	}
}

// LimitChanged implements kqgate.ConditionRecorder.
func (l *Log) LimitChanged(c kqgate.LimitChange, now time.Time) {
	u := c.Upstream
	event, text := "limit_changed", "Upstream changes its limit."
	switch {
	case !c.IsLimited:
		event, text = "limit_ended", "Upstream names no limit any more."
	case !c.WasLimited:
		event, text = "limit_named", "Upstream names a limit."
	}
	fields := upstreamFields(event, u)
	if c.IsLimited {
		fields["limit_per_s"] = c.NewLimit
		l.counter.LimitNamed(u.Service, u.Version, c.NewLimit)
	} else {
		l.counter.LimitEnded(u.Service, u.Version)
	}
	if c.WasLimited {
		fields["previous_limit_per_s"], fields["named_for_ms"] = c.PreviousLimit, c.Named.Milliseconds()
		fields["sent"], fields["refused"] = c.Sent, c.Refused
	}
	if !l.limits.AllowN(now, 1) {
		l.counter.LineSuppressed(event)
		return
	}
	l.log.WithFields(fields).Info(text)
}

// LimitedCall implements kqgate.ConditionRecorder.
func (l *Log) LimitedCall(sent bool) { l.counter.LimitedCall(sent) }

// UpstreamLeaving implements kqgate.ConditionRecorder.
func (l *Log) UpstreamLeaving(a kqlocal.Announcement, _ time.Time) {
	l.log.WithFields(upstreamFields("leaving", a)).Info("Upstream says in an answer that it leaves.")
}

// UpstreamEnded implements kqgate.ConditionRecorder.
func (l *Log) UpstreamEnded(a kqlocal.Announcement, f kqfingerprint.Fingerprint, now time.Time) {
	const event = "ended_under_call"
	l.counter.EndedUnderCall()
	if !l.ends.AllowN(now, 1) {
		l.counter.LineSuppressed(event)
		return
	}
	fields := upstreamFields(event, a)
	fields["request"] = f
	l.log.WithFields(fields).Warn("Upstream ended while it ran a request.")
}

// ConditionInvalid implements kqgate.ConditionRecorder.
func (l *Log) ConditionInvalid(a kqlocal.Announcement, err error, now time.Time) {
	const event = "condition_invalid"
	if !l.invalid.AllowN(now, 1) {
		l.counter.LineSuppressed(event)
		return
	}
	l.log.WithFields(upstreamFields(event, a)).WithError(err).Warn("An upstream's limit or departure cannot be read and changes nothing.")
}

// ResponseMalformed implements kqgate.ConditionRecorder.
func (l *Log) ResponseMalformed(a kqlocal.Announcement, call kqcall.ID, err error, now time.Time) {
	const event = "response_malformed"
	if !l.malformed.AllowN(now, 1) {
		l.counter.LineSuppressed(event)
		return
	}
	fields := upstreamFields(event, a)
	fields["id"] = call
	l.log.WithFields(fields).WithError(err).Warn("Upstream did not respond with valid HTTP; its response is dropped.")
}

func upstreamFields(event string, a kqlocal.Announcement) logrus.Fields {
	return logrus.Fields{"event": event, "instance": a.Instance, "address": a.Address, "service": a.Service, "upstream_version": a.Version}
}
