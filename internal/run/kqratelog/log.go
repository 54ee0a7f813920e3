package kqratelog

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqadmission"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrates"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// linesPerSecond and maxBurst bound the lines of each kind. All of 10,000 workspaces may
	// exceed their rates at once.
	linesPerSecond = 1
	maxBurst       = 20

	eventLimited = "workspace_limited"
	eventFree    = "workspace_not_limited"
	eventPortion = "own_portion"
	eventAnswers = "rates_answered"
)

type (
	// Counter counts the decisions about calls of workspaces that have a rate.
	Counter interface {
		// RateDecided counts a call that was admitted or refused.
		RateDecided(admitted bool, basis string)
		// RateLimited counts the workspaces that are limited: change is 1 or -1.
		RateLimited(coordinator bool, change int)
		// LineSuppressed counts a line that exceeded its rate.
		LineSuppressed(kind string)
	}

	// Log implements kqrates.Observer. It is safe for concurrent use.
	Log struct {
		log      *logrus.Entry
		counter  Counter
		limiters map[string]*rate.Limiter
	}
)

// New returns a Log that writes to log.
func New(log *logrus.Entry, counter Counter) *Log {
	l := &Log{log: log, counter: counter, limiters: make(map[string]*rate.Limiter)}
	for _, event := range []string{eventLimited, eventFree, eventPortion, eventAnswers} {
		l.limiters[event] = rate.NewLimiter(linesPerSecond, maxBurst)
	}
	return l
}

// LimitChanged implements kqrates.Observer.
func (l *Log) LimitChanged(c kqrates.LimitChange, now time.Time) {
	event, text, change := eventLimited, "Workspace exceeds its rate; a part of its calls is refused.", 1
	if !c.Limited {
		event, text, change = eventFree, "Workspace does not exceed its rate any more.", -1
	}
	l.counter.RateLimited(c.Coordinator, change)
	fields := logrus.Fields{"workspace": c.Workspace, "rate_per_s": c.Limit.PerSecond, "burst": c.Limit.Burst, "coordinator": c.Coordinator, "share": math.Round(c.Share*1000) / 1000}
	if c.Coordinator {
		fields["arrived_per_s"] = math.Round(c.Arrived*10) / 10
	}
	l.write(event, text, fields, now)
}

// PortionChanged implements kqrates.Observer.
func (l *Log) PortionChanged(shards, fleet int, now time.Time) {
	if shards == 0 {
		l.write(eventAnswers, "Coordinators of all rates answer again.", logrus.Fields{"nodes": fleet}, now)
		return
	}
	l.write(eventPortion, "No coordinator answers; this node admits by its own portion of the rates.", logrus.Fields{"shards": shards, "nodes": fleet}, now)
}

// Decided implements kqrates.Observer.
func (l *Log) Decided(_ kqname.Workspace, v kqadmission.Verdict) {
	l.counter.RateDecided(v.Allowed, v.Basis.String())
}

func (l *Log) write(event, text string, fields logrus.Fields, now time.Time) {
	if !l.limiters[event].AllowN(now, 1) {
		l.counter.LineSuppressed(event)
		return
	}
	fields["event"] = event
	l.log.WithFields(fields).Info(text)
}
