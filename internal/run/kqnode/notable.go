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
	// processes is what a node last believed of each member's process. A process that
	// was killed writes no line of its own; its peers' do it for it.
	processes struct {
		mu   sync.Mutex
		last map[kqname.Node]process
	}

	process struct {
		started uint64
		state   kqmember.State
		since   time.Time
	}
)

// Signalled notes a signal that the process was sent. Without the line nobody can
// tell a process that a signal ended from one that ended by itself.
func (n *Node) Signalled(s os.Signal) {
	n.note(logrus.Fields{"event": "signal", "signal": s.String(), "leaving": n.leaving.Load()}, fmt.Sprintf("Signal %v.", s))
}

// note writes a line on an event of the process, with the work that it finds, and
// has it told again.
func (n *Node) note(fields logrus.Fields, text string) {
	now := time.Now()
	n.notable.Add(text, now)
	fields["calls"], fields["callers"] = n.hangup.Count(), n.open(RoleEntry)
	fields["up_ms"] = now.Sub(n.started).Milliseconds()
	n.log.WithFields(fields).Info(text)
}

// step notes that the leave is that far.
func (n *Node) step(name string) {
	n.note(logrus.Fields{"event": "leaving", "step": name}, "Leaving: "+name+".")
}

// stopped notes the end of the process and what was still under way: those calls
// are cut.
func (n *Node) stopped(ctx context.Context, err error) {
	fields := logrus.Fields{"event": "stopped", "cause": context.Cause(ctx)}
	if err != nil {
		fields["error"] = err.Error()
	}
	n.note(fields, "Stopped.")
}

func (n *Node) tellNotable(now time.Time) {
	lines := n.unwritten()
	if more := lines - n.toldUnwritten; more > 0 {
		n.toldUnwritten = lines
		n.notable.Add(fmt.Sprintf("%d log lines were not written.", more), now)
	}
	if told := n.notable.Fresh(now); len(told) > 0 {
		n.log.WithFields(logrus.Fields{"event": "notable", "events": told}).Info("Lately.")
	}
}

// logRestart notes that a member's process is another than before, and how the
// former one was last held to be: one that was not dead has said no goodbye, so
// that what it was doing was cut.
func (n *Node) logRestart(m kqmember.Member) {
	now := time.Now()
	was, restarted := n.processes.see(m, now)
	if !restarted || m.Node == n.settings.Node.Name {
		return
	}
	text := fmt.Sprintf("Member %s has a new process; the former was %s.", m.Node, was.state)
	n.notable.Add(text, now)
	n.logger.Part("member").WithFields(logrus.Fields{
		"event": "restarted", "member": m.Node, "was": was.state.String(), "was_for_ms": now.Sub(was.since).Milliseconds(),
		"goodbye": was.state == kqmember.Dead, "process": m.Process, "former": was.started,
	}).Info(text)
}

// see takes in a member's record and returns what was believed of the process before
// it, if that was another one.
func (p *processes) see(m kqmember.Member, now time.Time) (process, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		p.last = make(map[kqname.Node]process)
	}
	was, known := p.last[m.Node]
	if !known || was.started != m.Process || was.state != m.State {
		p.last[m.Node] = process{started: m.Process, state: m.State, since: now}
	}
	return was, known && was.started != m.Process && was.started != 0 && m.Process != 0
}
