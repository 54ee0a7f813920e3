// Package kqidentity holds a node's certificate, key and the fleet's CA, and
// makes TLS of them. It takes in changed files without a restart: connections
// that are open keep what they began with, and new ones take the new.
package kqidentity
