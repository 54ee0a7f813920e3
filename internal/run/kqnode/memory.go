package kqnode

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
	"github.com/kumquatgw/kumquatgw/internal/call/kqexchange"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqreclaim"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
)

const (
	// defaultBodyMemory is the memory for large bodies, in bytes, if the settings state
	// none: four bodies of 64 MB, the largest max_body that the settings allow.
	defaultBodyMemory = 256 << 20
	// bodyMemoryDivisor leaves a quarter of the memory to large bodies, beside which small
	// ones may take half as much.
	bodyMemoryDivisor = 4
	// programMemory is what the program itself takes, in bytes, and clientTenths the part of the
	// remaining memory, in tenths, that clients may take together; the rest is for garbage. It is
	// at least the memory divided by minClientDivisor.
	programMemory, clientTenths, minClientDivisor = 32 << 20, 7, 10
	// connectionsDivisor and spareDivisor divide the clients' memory to get what their connections
	// may take, and what connections and bodies leave to calls.
	connectionsDivisor, spareDivisor = 2, 8
	// openTenths is the part of the descriptors, in tenths, that clients' connections may take. The
	// others are for connections to other nodes, to the upstream and to the platform's service, and
	// for connections that linger.
	openTenths = 8
	// lingerDivisor divides the descriptors to get how many connections may linger at least.
	lingerDivisor = 16
	// reclaimLogInterval is the least time between two log lines about clients that gave way.
	reclaimLogInterval = time.Second
)

// reservedDivisors divide the connections of all clients to get how many are kept for those of each
// listener. Any listener's clients may take what is not kept for others.
var reservedDivisors = map[Role]int{RoleEntry: 4, RoleGate: 6, RoleControl: 12, RoleLocal: 24, RoleReady: 48, RoleAdmin: 48}

// newAccount returns the account of the memory and the connections of the node's clients.
func (n *Node) newAccount() *kqmemory.Account {
	limits := kqmemory.Limits{LargeBodies: bodyMemory(n.settings), SmallBodies: bodyMemory(n.settings) / 2, Open: n.maxOpen()}
	if memory := n.settings.Node.Memory; memory > 0 {
		limits.Total = clientMemory(memory)
		limits.Spare = limits.Total / spareDivisor
	}
	return kqmemory.New(limits, kqmemory.WithReclaimHandler(n.recordReclaimed))
}

// clientMemory returns the part of the process's memory, in bytes, that its clients may use.
func clientMemory(memory int) int {
	return max((memory-programMemory)/10*clientTenths, memory/minClientDivisor)
}

// maxOpen returns how many connections of clients may be open, 0 for no limit: those that descriptors
// and memory suffice for.
func (n *Node) maxOpen() int {
	byDescriptors := n.descriptors() * openTenths / 10
	if n.settings.Node.Memory == 0 {
		return byDescriptors
	}
	byMemory := clientMemory(n.settings.Node.Memory) / connectionsDivisor / kqmemory.ConnectionMemory
	if byDescriptors == 0 {
		return byMemory
	}
	return min(byDescriptors, byMemory)
}

// bodyMemory returns how many bytes of large bodies the node may hold at once. Small ones may take half
// as many beside them.
func bodyMemory(s kqsettings.Settings) int {
	switch {
	case s.Call.BodyMemory > 0:
		return s.Call.BodyMemory
	case s.Node.Memory > 0:
		return s.Node.Memory / bodyMemoryDivisor
	default:
		return defaultBodyMemory
	}
}

// descriptors returns how many descriptors the process may have open, 0 if that is unknown.
func (n *Node) descriptors() int {
	if n.settings.Node.Descriptors > 0 {
		return n.settings.Node.Descriptors
	}
	return descriptorLimit()
}

// newGroup returns the group of a listener's clients.
func (n *Node) newGroup(r Role) *kqmemory.Group {
	return n.account.Group(n.maxOpen()/reservedDivisors[r], kqmemory.ConnectionMemory)
}

// connectionOptions returns the options of a listener for calls or readiness probes.
func (n *Node) connectionOptions(r Role) []kqconnection.Option {
	options := []kqconnection.Option{kqconnection.WithGroup(n.newGroup(r), func() { n.recordRefusedConnection(r) })}
	if d := n.descriptors(); d > 0 {
		options = append(options, kqconnection.WithMaxLingering(max(d/lingerDivisor, d*openTenths/10-n.maxOpen())))
	}
	return append(options, kqconnection.WithRefusal(func(head []byte) []byte { return n.noMemoryResponse(r, head) }),
		kqconnection.WithUnanswered(func(p kqexchange.Phase, age time.Duration) { n.recordUnanswered(r, p, age) }))
}

// recordReclaimed counts and logs that a client gave way.
func (n *Node) recordReclaimed(s kqreclaim.State) {
	n.metrics.ClientReclaimed(s)
	n.logShortage(logrus.Fields{"event": "reclaimed", "state": s.String()}, "Clients without progress give way.")
}

// recordRefusedConnection counts and logs that there is no room for a connection.
func (n *Node) recordRefusedConnection(r Role) {
	n.metrics.ConnectionRefused(string(r))
	n.logShortage(logrus.Fields{"event": "connection_refused", "listener": r}, "Connections are refused, since there is no room for them.")
}

// logShortage logs an event of a shortage, with what clients use, unless one was just logged.
func (n *Node) logShortage(fields logrus.Fields, text string) {
	now := time.Now().UnixNano()
	last := n.shortageLogged.Load()
	if now-last < int64(reclaimLogInterval) || !n.shortageLogged.CompareAndSwap(last, now) {
		return
	}
	fields["open"] = n.account.Open()
	for _, u := range kqmemory.Uses() {
		fields[u.String()+"_bytes"] = n.account.Used(u)
	}
	n.logEvent(fields, text)
}
