// Package kqsupervisor recovers panics, reports them and restarts background work.
//
// Without it, a panic in the handling of one call or message would end the process
// and cut every call in flight. A panic in background work, which its wait group
// holds back until the process ends, would stop that work silently while the node
// continues to serve.
package kqsupervisor
