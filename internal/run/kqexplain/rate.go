package kqexplain

import (
	"fmt"
	"time"
)

// rateCause describes the decision that refused a call as beyond its workspace's rate, and what
// it rested on, as far as lines until then tell.
func (l *Log) rateCause(end line) string {
	text := fmt.Sprintf("rate. Workspace %q made more calls than its rate over all nodes allows", end.Workspace)
	started, ok := l.lastLine(end.Node, end.Time, func(o line) bool {
		return !o.Coordinator && o.Workspace == end.Workspace && (o.Event == "workspace_limited" || o.Event == "workspace_not_limited")
	})
	if ok && started.Event == "workspace_limited" {
		text += fmt.Sprintf(", %g a second and %g at once; %s had admitted a part of its calls by its coordinator's answers for %s, a share of %g at first",
			started.RatePerS, started.Burst, end.Node, end.Time.Sub(started.Time).Round(time.Millisecond), started.Share)
	}
	if own, ok := l.lastLine(end.Node, end.Time, func(o line) bool { return o.Event == "own_portion" || o.Event == "rates_answered" }); ok && own.Event == "own_portion" {
		text += fmt.Sprintf("; no coordinator had answered %s for some rates since %s, for which it admitted by its own portion, one of %d",
			end.Node, own.Time.Format("15:04:05.000"), own.Nodes)
	}
	if c, ok := l.coordinatorLine(end); ok {
		text += fmt.Sprintf("; the coordinator %s had counted %g calls a second over all nodes at %s", c.Node, c.ArrivedPerS, c.Time.Format("15:04:05.000"))
	}
	return text + "."
}

// coordinatorLine returns the last line of any coordinator until the call ended by which its
// workspace was limited, and whether there is one.
func (l *Log) coordinatorLine(end line) (line, bool) {
	var best line
	for _, one := range l.lines {
		if one.Event == "workspace_limited" && one.Coordinator && one.Workspace == end.Workspace && !one.Time.After(end.Time) && !one.Time.Before(best.Time) {
			best = one
		}
	}
	return best, !best.Time.IsZero()
}
