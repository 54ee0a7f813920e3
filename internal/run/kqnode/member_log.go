package kqnode

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// logMember logs a member's restart if it runs a new process, and its changed record: this
// node's own at once, those of others in batches.
func (n *Node) logMember(m kqmember.Member) {
	n.logRestart(m)
	if m.Node != n.settings.Node.Name {
		n.memberLog.Add(m)
		n.logMembers(time.Now())
		return
	}
	upstreams := make([]string, 0, len(m.Upstreams))
	for _, u := range m.Upstreams {
		text := string(u.Service) + " " + string(u.Version)
		if u.Draining {
			text += " draining"
		}
		upstreams = append(upstreams, text)
	}
	n.logger.Part("member").WithFields(logrus.Fields{
		"event": "member", "member": m.Node, "state": m.State.String(), "incarnation": m.Incarnation, "upstreams": upstreams,
	}).Info("Member changed.")
}

// logMembers logs the changes of other members' records once a line is due.
func (n *Node) logMembers(now time.Time) {
	if fields, due := n.memberLog.Take(now); due {
		fields["event"] = "members"
		n.logger.Part("member").WithFields(fields).Info("Members changed.")
	}
}
