// Package kqsupervisor recovers panics, reports them and restarts background work.
//
// Without it, a panic in the handling of one call or message would end the process
// and cut every call in flight. A panic in background work would stop that work
// silently while the node continues to serve, since its wait group raises the panic
// again only when the node shuts down.
package kqsupervisor
