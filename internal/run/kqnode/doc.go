// Package kqnode assembles one node from its parts: listeners, configuration
// flow, call flow, membership and admin server.
//
// config.go, call.go and admin.go assemble one flow each; node.go starts and
// stops them.
package kqnode
