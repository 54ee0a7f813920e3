// Command kumquatgw distributes a service mesh's configuration and carries its
// calls; see README.md.
package main

import (
	"os"

	"github.com/kumquatgw/kumquatgw/internal/run/kqcommand"
)

func main() { os.Exit(kqcommand.New(os.Stdout, os.Stderr).Run(os.Args[1:])) }
