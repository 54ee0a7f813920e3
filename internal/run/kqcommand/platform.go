package kqcommand

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/platform/kqstandin"
)

const headerTimeout = 5 * time.Second

func (c *Command) addPlatform() {
	clause := c.app.Command("platform", "Serve a stand-in for the platform's key-value service, in memory.")
	listen := clause.Flag("listen", "Address to listen on.").Default("127.0.0.1:7070").String()
	c.add(clause, func(ctx context.Context) error {
		l, err := net.Listen("tcp", *listen)
		if err != nil {
			return fmt.Errorf("start platform: %w", err)
		}
		server := &http.Server{Handler: kqstandin.New().Handler(), ReadHeaderTimeout: headerTimeout}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		fmt.Fprintf(c.out, "platform listens on http://%s\n", l.Addr())
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve platform: %w", err)
		}
		return nil
	})
}
