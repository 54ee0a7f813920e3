// Package kqgate is the admission control of a node's local upstreams. Every call to one
// of them passes the gate, which queues it until one of the upstream's slots is free,
// forwards it, and reports whether it ran. The gate refuses new calls as soon as the
// upstream drains. It does not choose upstreams or retry calls, which is the entry's job.
package kqgate
