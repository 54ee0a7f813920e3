package kqcommand

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqclient"
)

// defaultAdminURL is the URL of the admin server if no flag or environment variable
// gives one.
const defaultAdminURL = "http://127.0.0.1:8084"

// addAccessFlags adds the flags for access to the administration API. The token can
// also come from the environment, as every user of the server can read the
// arguments of processes.
func addAccessFlags(clause *kingpin.CmdClause) *kqclient.Access {
	a := &kqclient.Access{}
	clause.Flag("admin", "URL of a node's admin server.").Default(defaultAdminURL).Envar("KUMQUATGW_ADMIN").StringVar(&a.URL)
	clause.Flag("token", "Operator's token; prefer to set it as KUMQUATGW_TOKEN, since arguments are visible to other users.").Envar("KUMQUATGW_TOKEN").StringVar(&a.Token)
	clause.Flag("ca", "PEM file of the fleet's CA.").Envar("KUMQUATGW_CA").StringVar(&a.CA)
	return a
}
