// Command kumquatgw runs a service mesh: it distributes the mesh's configuration and
// proxies its calls; see README.md.
package main

import (
	"os"

	"github.com/kumquatgw/kumquatgw/internal/run/kqcommand"
	// Keeps SIGHUP from ending a node that is still starting.
	_ "github.com/kumquatgw/kumquatgw/internal/run/kqsighup"
	"github.com/kumquatgw/kumquatgw/platform/kqplatform"
)

func main() {
	command := kqcommand.New(os.Stdout, os.Stderr, kqcommand.WithAdapter(kqplatform.Name, kqplatform.Connect))
	os.Exit(command.Run(os.Args[1:]))
}
