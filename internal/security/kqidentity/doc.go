// Package kqidentity provides mutual TLS between nodes from a node's certificate and
// key and the fleet's CA. Changed files are reloaded without a restart: open
// connections keep the old certificates, new ones use the new. The package also
// configures TLS for operators, whom kqoperator authenticates by token.
package kqidentity
