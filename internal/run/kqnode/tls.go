package kqnode

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/internal/run/kqmetric"
	"github.com/kumquatgw/kumquatgw/internal/security/kqidentity"
	"github.com/kumquatgw/kumquatgw/internal/security/kqreload"
)

// setUpTLS loads the node's identity, if the settings name one, and makes the gate's
// listener require mutual TLS.
func (n *Node) setUpTLS() error {
	n.securityMetrics = kqmetric.NewSecurity(n.metrics.Registry(), n.certificateExpiry)
	if !n.settings.TLS.On() {
		return nil
	}
	log := n.logger.Part("tls")
	files := kqidentity.Files{CA: n.settings.TLS.CA, Certificate: n.settings.TLS.Certificate, Key: n.settings.TLS.Key}
	identity, err := kqidentity.New(n.settings.Node.Name, files,
		kqidentity.WithRefusalHandler(func(err error) {
			n.securityMetrics.PeerRefused()
			log.WithError(err).Warn("Refused a peer's certificate.")
		}),
		kqidentity.WithReload(kqreload.WithInterval(n.settings.TLS.ReloadEvery), kqreload.WithFailureHandler(func(err error) {
			n.securityMetrics.ReloadFailed("certificate")
			log.WithError(err).Warn("Cannot load the certificate files; the current certificate stays in use.")
		})))
	if err != nil {
		return fmt.Errorf("set up tls: %w", err)
	}
	n.identity = identity
	n.listeners.gate = tls.NewListener(n.listeners.gate, identity.MutualTLSConfig())
	return nil
}

func (n *Node) peerServerOptions() []kqrpc.ServerOption {
	if n.identity == nil {
		return nil
	}
	return []kqrpc.ServerOption{kqrpc.WithGuard(n.identity.ServerHandshake)}
}

func (n *Node) peerClientOptions() []kqrpc.ClientOption {
	if n.identity == nil {
		return nil
	}
	return []kqrpc.ClientOption{kqrpc.WithClientGuard(n.identity.ClientHandshake)}
}

func (n *Node) entryTLSOptions() []kqentry.Option {
	if n.identity == nil {
		return nil
	}
	return []kqentry.Option{kqentry.WithDialer(n.identity.Dial)}
}

func (n *Node) runTLS(ctx context.Context) {
	if n.identity != nil {
		n.identity.Run(ctx)
	}
}

// adminTLS returns the TLS configuration of the admin server, or nil without TLS.
func (n *Node) adminTLS() *tls.Config {
	if n.identity == nil {
		return nil
	}
	return n.identity.PublicTLSConfig()
}

func (n *Node) certificateExpiry() time.Time {
	if n.identity == nil {
		return time.Time{}
	}
	return n.identity.Expires()
}
