package kqnode

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/kumquatgw/kumquatgw/internal/call/kqexchange"
)

// unansweredLines is how many lines about unanswered requests are written a second.
const unansweredLines = 20

// newUnansweredLimiter returns the limiter of the lines about unanswered requests.
func newUnansweredLimiter() *rate.Limiter { return rate.NewLimiter(unansweredLines, unansweredLines) }

// recordUnanswered counts and logs that this node has closed a connection whose request it has
// begun to read and of whose response it has written nothing.
func (n *Node) recordUnanswered(r Role, p kqexchange.Phase, age time.Duration) {
	n.metrics.RequestUnanswered(string(r), p)
	if !n.unansweredLimiter.Allow() {
		return
	}
	n.logger.Part("call").WithFields(logrus.Fields{"event": "unanswered", "listener": r, "phase": p.String(), "age_ms": age.Milliseconds(), "leaving": n.leaving.Load()}).
		Warn("Connection is closed with an unanswered request.")
}

// exchangeFields adds to the fields, by listener, how many connections have a request that has not
// been answered whole, and what they do.
func (n *Node) exchangeFields(fields logrus.Fields, now time.Time) {
	for role, l := range n.connections {
		count := l.Exchanges(now)
		fields[string(role)+"_open"] = l.OpenCount()
		if count.Total() == 0 {
			continue
		}
		fields[string(role)+"_receiving"], fields[string(role)+"_serving"], fields[string(role)+"_responding"] = count.Receiving, count.Serving, count.Responding
		fields[string(role)+"_oldest_ms"] = count.Oldest.Milliseconds()
	}
}
