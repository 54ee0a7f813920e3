// Package kqdemo runs a small fleet with services of two users on loopback in one
// process, either for manual use or with a script of changes and faults that
// ends with a report of how the calls ended. It is not for benchmarks: callers
// and nodes share one process.
//
// Where possible, the report relies on observations made outside the nodes: by the
// callers, the fake upstreams, the in-memory platform and the connections
// between nodes. Each call that the report counts carries a unique work id, which the
// upstream records and echoes. Routes that exist only from a certain version on (probes) show
// which configuration version a node applies. Rollout states and the nodes' own
// statements of their configuration versions are read from the nodes.
package kqdemo
