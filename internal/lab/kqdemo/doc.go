// Package kqdemo runs small versions of two users' deployments on loopback in one
// process, either for manual use or with a script of changes and faults that
// ends with a report of how the calls ended.
//
// The report is measured independently of the nodes where possible: by the
// callers, the fake upstreams, the in-memory platform and the connections
// between nodes. Each call carries a unique work id, which the upstream records
// and echoes. Routes that exist only from a certain version on (probes) show
// which configuration version a node applies. Rollout states and the stated
// configuration versions are read from the nodes.
package kqdemo
