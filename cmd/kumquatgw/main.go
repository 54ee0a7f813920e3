// Command kumquatgw distributes a service mesh's configuration and proxies its calls. It is
// the node that runs beside each upstream, and the operators' command line; see README.md.
// This package only connects the command line, which kqcommand implements, to the process.
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
