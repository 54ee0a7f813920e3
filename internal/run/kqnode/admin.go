package kqnode

import (
	"context"
	"fmt"
	"net"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqadmin"
	"github.com/kumquatgw/kumquatgw/internal/base/kqadmit"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/internal/security/kqreload"
)

// setUpAdmin creates the admin server if the settings enable it.
func (n *Node) setUpAdmin() error {
	if n.listeners.admin == nil {
		return nil
	}
	log := n.logger.Part("admin")
	operators := kqoperator.New(n.settings.Admin.Tokens)
	if n.settings.Admin.Tokens != "" {
		reloader, err := kqreload.New([]string{n.settings.Admin.Tokens}, operators.Load,
			kqreload.WithInterval(n.settings.TLS.ReloadEvery), kqreload.WithFailureHandler(func(err error) {
				n.securityMetrics.ReloadFailed("tokens")
				log.WithError(err).Warn("Cannot load the operators' token file; the current tokens stay in use.")
			}))
		if err != nil {
			return fmt.Errorf("set up admin server: %w", err)
		}
		n.tokenReloader = reloader
	}
	var err error
	n.admin, err = kqadmin.New(kqadmin.Parts{
		Node: n, Store: n.store, Operators: operators, Registry: n.metrics.Registry(), Counter: n.securityMetrics, Log: log,
	}, kqadmin.WithAdmission(func(l net.Listener) net.Listener {
		return kqadmit.New(l, n.newGroup(RoleAdmin), kqadmin.RequestMemory, func() { n.recordRefusedConnection(RoleAdmin) })
	}))
	if err != nil {
		return fmt.Errorf("set up admin server: %w", err)
	}
	return nil
}

func (n *Node) runAdmin(ctx context.Context, supervise func(part string, f func())) {
	if n.tokenReloader != nil {
		supervise("tokens", func() { n.tokenReloader.Run(ctx) })
	}
	if n.admin != nil {
		supervise("admin", func() { n.admin.Run(ctx) })
	}
}
