package kqnode

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// memberProcesses holds the last known state of each member's process. A killed
	// process cannot log its own end, so its peers log it.
	memberProcesses struct {
		mu   sync.Mutex
		last map[kqname.Node]memberProcess
	}

	memberProcess struct {
		started uint64
		state   kqmember.State
		since   time.Time
	}
)

// LogSignal logs a signal sent to the process. Without the line, a process ended by a
// signal cannot be distinguished from one that ended by itself.
func (n *Node) LogSignal(s os.Signal) {
	n.logEvent(logrus.Fields{"event": "signal", "signal": s.String(), "leaving": n.leaving.Load()}, fmt.Sprintf("Signal %v.", s))
}

// logEvent logs an event of the process with the number of calls in flight and of
// callers' connections, and keeps it for logRecentEvents.
func (n *Node) logEvent(fields logrus.Fields, text string) {
	now := time.Now()
	n.recentEvents.Add(text, now)
	fields["calls"], fields["callers"] = n.disconnectWatcher.Count(), n.openConnections(RoleEntry)
	fields["up_ms"] = now.Sub(n.started).Milliseconds()
	n.log.WithFields(fields).Info(text)
}

// logLeaveStep logs that the leave has reached a step, with the connections that have a request.
func (n *Node) logLeaveStep(name string) {
	fields := logrus.Fields{"event": "leaving", "step": name}
	n.exchangeFields(fields, time.Now())
	n.logEvent(fields, "Leaving: "+name+".")
}

// logStopped logs the end of the process and the calls still in flight, which are cut
// off.
func (n *Node) logStopped(ctx context.Context, err error) {
	fields := logrus.Fields{"event": "stopped", "cause": context.Cause(ctx)}
	if err != nil {
		fields["error"] = err.Error()
	}
	n.exchangeFields(fields, time.Now())
	n.logEvent(fields, "Stopped.")
}

// logRecentEvents repeats the recent events in one log line, so that they stay in a log of
// which only the last lines are kept. It adds how many log lines could not be written since
// it last ran.
func (n *Node) logRecentEvents(now time.Time) {
	lines := n.unwrittenLines()
	if more := lines - n.loggedUnwritten; more > 0 {
		n.loggedUnwritten = lines
		n.recentEvents.Add(fmt.Sprintf("%d log lines were not written.", more), now)
	}
	if events := n.recentEvents.Recent(now); len(events) > 0 {
		n.log.WithFields(logrus.Fields{"event": "notable", "events": events}).Info("Recent events.")
	}
}

// logRestart logs that a member runs a new process, with the last known state of the
// previous one. If that state is dead, the previous process announced its end or the
// failure detector declared it dead; else no final announcement came, and its calls were
// probably cut off.
func (n *Node) logRestart(m kqmember.Member) {
	now := time.Now()
	previous, restarted := n.memberProcesses.observe(m, now)
	if !restarted || m.Node == n.settings.Node.Name {
		return
	}
	text := fmt.Sprintf("Member %s has a new process; the previous one was %s.", m.Node, previous.state)
	n.recentEvents.Add(text, now)
	n.logger.Part("member").WithFields(logrus.Fields{
		"event": "restarted", "member": m.Node, "was": previous.state.String(), "was_for_ms": now.Sub(previous.since).Milliseconds(),
		"goodbye": previous.state == kqmember.Dead, "process": m.Process, "former": previous.started,
	}).Info(text)
}

// observe records a member's process. It returns the one known before and whether the
// member's process differs from it.
func (p *memberProcesses) observe(m kqmember.Member, now time.Time) (memberProcess, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		p.last = make(map[kqname.Node]memberProcess)
	}
	previous, known := p.last[m.Node]
	if !known || previous.started != m.Process || previous.state != m.State {
		p.last[m.Node] = memberProcess{started: m.Process, state: m.State, since: now}
	}
	return previous, known && previous.started != m.Process && previous.started != 0 && m.Process != 0
}
