package kqnode

import (
	"context"
	"fmt"
	"net"

	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/base/kqadmit"
	"github.com/kumquatgw/kumquatgw/internal/call/kqacceptor"
	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpace"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// peerRequestMemory is what a peer's request takes at least, in bytes.
const peerRequestMemory = 64 << 10

// listen opens the listeners whose address is set. Those for calls track their connections.
func (n *Node) listen() error {
	s := n.settings.Node
	// Blocking new connections requires plain TCP; see kqquiesce.
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	paced := n.pacedRoles()
	for _, l := range []struct {
		role Role
		to   *net.Listener
		at   kqname.Address
	}{
		{RoleControl, &n.listeners.control, s.ControlListen},
		{RoleGate, &n.listeners.gate, s.GateListen},
		{RoleEntry, &n.listeners.entry, s.EntryListen},
		{RoleLocal, &n.listeners.local, s.LocalListen},
		{RoleReady, &n.listeners.ready, s.ReadyListen},
		{RoleAdmin, &n.listeners.admin, n.settings.Admin.Listen},
	} {
		if l.at == "" {
			continue
		}
		opened, err := config.Listen(context.Background(), "tcp", string(l.at))
		if err != nil {
			return fmt.Errorf("listen on %s: %w", l.at, err)
		}
		inner := opened
		switch tcp, ok := opened.(*net.TCPListener); {
		case l.role == RoleControl:
			inner = kqadmit.New(opened, n.newGroup(l.role), peerRequestMemory, func() { n.recordRefusedConnection(RoleControl) })
		case l.role == RoleReady:
			inner = kqconnection.New(opened, n.connectionOptions(l.role)...)
		case ok && l.role != RoleAdmin:
			n.callListeners[l.role], n.connections[l.role] = tcp, kqconnection.New(tcp, append(paced[l.role], n.connectionOptions(l.role)...)...)
			inner = n.connections[l.role]
		}
		*l.to = kqacceptor.New(n.wrapListener(l.role, inner), func(err error) { n.logAcceptFailure(l.role, err) })
	}
	return nil
}

// pacedRoles returns the options that space out the large responses of the listeners whose
// responses leave the server, over its link. There are none without a stated bandwidth.
func (n *Node) pacedRoles() map[Role][]kqconnection.Option {
	if n.settings.Node.LinkMbits <= 0 {
		return nil
	}
	option := kqconnection.WithPacer(kqpace.New(n.settings.Node.LinkMbits))
	return map[Role][]kqconnection.Option{RoleGate: {option}, RoleEntry: {option}}
}

// logAcceptFailure logs that a listener cannot accept connections for now.
func (n *Node) logAcceptFailure(r Role, err error) {
	n.logEvent(logrus.Fields{"event": "accept_failed", "listener": r, logrus.ErrorKey: err}, "Cannot accept connections for now.")
}

func (l listeners) close() {
	for _, one := range []net.Listener{l.control, l.gate, l.entry, l.local, l.ready, l.admin} {
		if one != nil {
			_ = one.Close()
		}
	}
}

func listenAddress(l net.Listener) kqname.Address { return kqname.Address(l.Addr().String()) }
