package kqnode

import (
	"net"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// EntryAddress returns the address for callers from outside.
func (n *Node) EntryAddress() kqname.Address { return listenAddress(n.listeners.entry) }

// LocalAddress returns the address for the local upstream.
func (n *Node) LocalAddress() kqname.Address { return listenAddress(n.listeners.local) }

// GateAddress returns the address for calls from other nodes.
func (n *Node) GateAddress() kqname.Address { return listenAddress(n.listeners.gate) }

// ControlAddress returns the address for peers.
func (n *Node) ControlAddress() kqname.Address { return listenAddress(n.listeners.control) }

// AdminAddress returns the address for operators, or "" if the admin server is off.
func (n *Node) AdminAddress() kqname.Address {
	if n.listeners.admin == nil {
		return ""
	}
	return listenAddress(n.listeners.admin)
}

// advertisedAddress returns the address that other nodes connect to: the configured one,
// or else the listener's own.
func advertisedAddress(set kqname.Address, l net.Listener) kqname.Address {
	if set != "" {
		return set
	}
	return listenAddress(l)
}
