package kqcommand

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqclient"
)

// adminFlag is where a node's admin server is, unless a flag says otherwise.
const adminFlag = "http://127.0.0.1:8084"

// accessFlags adds the flags by which a command reaches the administration API.
// The token comes from the environment too: arguments can be read by every user
// of the machine.
func accessFlags(clause *kingpin.CmdClause) *kqclient.Access {
	a := &kqclient.Access{}
	clause.Flag("admin", "URL of a node's admin server.").Default(adminFlag).Envar("KUMQUATGW_ADMIN").StringVar(&a.URL)
	clause.Flag("token", "Operator's token; better set as KUMQUATGW_TOKEN.").Envar("KUMQUATGW_TOKEN").StringVar(&a.Token)
	clause.Flag("ca", "PEM file of the fleet's CA.").Envar("KUMQUATGW_CA").StringVar(&a.CA)
	return a
}
