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
	// nodesPerNet is how many nodes have an address of their own in one net.
	nodesPerNet = 200
)

// roles are the addresses that a node tells.
var roles = []string{"entry", "local", "control", "gate"}

func (n *node) file() string { return filepath.Join(n.soak.folder, n.name+".ini") }

// home has the system choose a port, which the node then keeps. Each node has an
// address of its own, from which no connection goes out: on a shared one, a passing
// connection may have the port when the node comes back.
func (n *node) home() string {
	return fmt.Sprintf("127.1.%d.%d:0", n.number/nodesPerNet, 1+n.number%nodesPerNet)
}

func (n *node) service() kqname.Service { return services[n.number%len(services)] }

// change gives the node other settings, without telling it.
func (n *node) change() error {
	n.mu.Lock()
	n.changes++
	n.mu.Unlock()
	return n.write()
}

// write writes the settings file whole before it takes the old one's place.
func (n *node) write() error {
	seeds := n.soak.seeds(n)
	n.mu.Lock()
	defer n.mu.Unlock()
	text := fmt.Sprintf("[node]\nname = %s\ndomain = domain-%d\nservice = %s\ndrain_timeout = %v\n",
		n.name, n.number%domains, n.service(), drainTimeout)
	for _, role := range roles {
		text += fmt.Sprintf("%s_listen = %s\n", role, n.addresses[role])
		if l, ok := n.lines[kqsoak.Role(role)]; ok {
			text += fmt.Sprintf("%s_address = %s\n", role, l.proxy.Address())
		}
	}
	text += fmt.Sprintf("[platform]\nurl = %s\n[member]\nseeds = %s\n[log]\nsample = %d\n", n.soak.nodesStore(), seeds, 1+n.changes)
	if err := os.WriteFile(n.file()+".new", []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if err := os.Rename(n.file()+".new", n.file()); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// seeds returns the control addresses of two other nodes.
func (s *Soak) seeds(n *node) string {
	text := ""
	for _, other := range s.nodes[:min(len(s.nodes), 3)] {
		control := other.address("control")
		if l, ok := other.lines[kqsoak.RoleControl]; ok && control != other.home() {
			control = l.proxy.Address()
		}
		if other == n || control == other.home() {
			continue
		}
		if text != "" {
			text += ","
		}
		text += control
	}
	return text
}
