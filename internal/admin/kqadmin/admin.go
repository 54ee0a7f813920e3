// Package kqadmin serves operators: probes, metrics, and a view of the node.
package kqadmin

import (
	"fmt"
	"net"
	"net/http"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Node is what the admin server shows of its node.
	Node interface {
		Ready() bool
		Version() kqname.ConfigVersion
		Members() []kqmember.Member
		Rollouts() []kqboard.Status
	}

	// Admin is the admin server.
	Admin struct {
		app *fiber.App
	}
)

// New returns the admin server of a node.
func New(node Node, registry *prometheus.Registry) *Admin {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 2 << 20})
	app.Get("/live", func(c *fiber.Ctx) error { return c.SendString("live\n") })
	app.Get("/ready", func(c *fiber.Ctx) error {
		if !node.Ready() {
			return c.Status(http.StatusServiceUnavailable).SendString("not ready\n")
		}
		return c.SendString("ready\n")
	})
	app.Get("/v1/rollouts", func(c *fiber.Ctx) error { return c.JSON(node.Rollouts()) })
	app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	return &Admin{app: app}
}

// Serve answers on the listener until Shutdown.
func (a *Admin) Serve(l net.Listener) error {
	if err := a.app.Listener(l); err != nil {
		return fmt.Errorf("serve admin on %s: %w", l.Addr(), err)
	}
	return nil
}

// Shutdown stops the server once its requests are answered.
func (a *Admin) Shutdown() error {
	if err := a.app.Shutdown(); err != nil {
		return fmt.Errorf("stop admin: %w", err)
	}
	return nil
}
