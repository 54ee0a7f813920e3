// Package kqnode joins the parts of one node: listeners, the configuration
// flow, the call flow, membership and the admin server.
//
// Each flow is put together in a file of its own: config.go, call.go and
// admin.go; node.go starts and stops them.
package kqnode
