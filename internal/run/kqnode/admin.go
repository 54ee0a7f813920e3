package kqnode

import (
	"context"
	"fmt"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqadmin"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/internal/security/kqreload"
)

// joinAdmin joins the admin server, where the settings switch it on.
func (n *Node) joinAdmin() error {
	if n.listeners.admin == nil {
		return nil
	}
	log := n.logger.Part("admin")
	operators := kqoperator.New(n.settings.Admin.Tokens)
	if n.settings.Admin.Tokens != "" {
		reloader, err := kqreload.New([]string{n.settings.Admin.Tokens}, operators.Load,
			kqreload.WithEvery(n.settings.TLS.ReloadEvery), kqreload.WithFailed(func(err error) {
				n.security.ReloadFailed("tokens")
				log.WithError(err).Warn("Kept the operators in use: their file cannot be taken in.")
			}))
		if err != nil {
			return fmt.Errorf("join admin: %w", err)
		}
		n.tokens = reloader
	}
	var err error
	n.admin, err = kqadmin.New(kqadmin.Parts{
		Node: n, Store: n.store, Operators: operators, Registry: n.metrics.Registry(), Counter: n.security, Log: log,
	})
	if err != nil {
		return fmt.Errorf("join admin: %w", err)
	}
	return nil
}

func (n *Node) runAdmin(ctx context.Context, keep func(part string, f func())) {
	if n.tokens != nil {
		keep("tokens", func() { n.tokens.Run(ctx) })
	}
	if n.admin != nil {
		keep("admin", func() { n.admin.Run(ctx) })
	}
}
