package kqnode

import "github.com/kumquatgw/kumquatgw/internal/admin/kqadmin"

// joinAdmin joins the admin server, where the settings switch it on.
func (n *Node) joinAdmin() {
	if n.listeners.admin != nil {
		n.admin = kqadmin.New(n, n.metrics.Registry())
	}
}
