package kqsoakrun

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoak"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	drainTimeout = 10 * time.Second
	// nodesPerSubnet is how many nodes get an address of their own in one subnet.
	nodesPerSubnet = 200
	// networks is the number of networks that runs at the same time have, by process id, and
	// the subnets are the first ones of nodes, upstreams and proxies in each.
	networks       = 254
	nodeSubnet     = 0
	upstreamSubnet = 100
	proxySubnet    = 200
)

// roles are the roles of the addresses that the settings give. A node prints these
// addresses and then that of lastRole.
var roles = []string{"entry", "local", "control", "gate"}

func (n *node) settingsFile() string { return filepath.Join(n.soak.folder, n.name+".ini") }

// initialAddress returns an address with port 0: the operating system chooses a port,
// which the node then keeps. Each node has an IP address from which no connection is
// opened: on a shared one, another process's outgoing connection could hold the port when
// the node restarts.
func (n *node) initialAddress() string { return n.soak.address(nodeSubnet, n.number) }

// address returns the address with port 0 of a process in a subnet of this run. Runs at the same
// time have networks of their own: the port of a process that has ended, to which nodes may still
// send, could be given to a process of another run.
func (s *Soak) address(subnet, number int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%networks, subnet+number/nodesPerSubnet, 1+number%nodesPerSubnet)
}

func (n *node) service() kqname.Service { return services[n.number%len(services)] }

func (n *node) domain() kqname.Domain {
	return kqname.Domain(fmt.Sprintf("domain-%d", n.number%domains))
}

// changeSettings changes the node's settings file without sending a signal.
func (n *node) changeSettings() error {
	n.mu.Lock()
	n.changes++
	n.mu.Unlock()
	return n.writeSettings()
}

// writeSettings writes the settings to a new file and renames it, so that the node
// never reads a partial file.
func (n *node) writeSettings() error {
	seeds := n.soak.seeds(n)
	n.mu.Lock()
	defer n.mu.Unlock()
	text := fmt.Sprintf("[node]\nname = %s\ndomain = %s\nservice = %s\ndrain_timeout = %v\n",
		n.name, n.domain(), n.service(), drainTimeout)
	for _, role := range roles {
		text += fmt.Sprintf("%s_listen = %s\n", role, n.addresses[role])
		if fp, ok := n.proxies[kqsoak.Role(role)]; ok {
			text += fmt.Sprintf("%s_address = %s\n", role, fp.proxy.Address())
		}
	}
	text += fmt.Sprintf("[platform]\nurl = %s\n[member]\nseeds = %s\n[log]\nsample = %d\n", n.soak.storeURLForNodes(), seeds, 1+n.changes)
	if err := os.WriteFile(n.settingsFile()+".new", []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if err := os.Rename(n.settingsFile()+".new", n.settingsFile()); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// seeds returns the control addresses of those of the first three nodes that have
// started, without n, or the addresses of their proxies, separated by commas.
func (s *Soak) seeds(n *node) string {
	text := ""
	for _, other := range s.nodes[:min(len(s.nodes), 3)] {
		control := other.address("control")
		if fp, ok := other.proxies[kqsoak.RoleControl]; ok && control != other.initialAddress() {
			control = fp.proxy.Address()
		}
		if other == n || control == other.initialAddress() {
			continue
		}
		if text != "" {
			text += ","
		}
		text += control
	}
	return text
}
