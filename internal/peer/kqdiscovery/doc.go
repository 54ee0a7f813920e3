// Package kqdiscovery implements node discovery through the store. Each node keeps an entry
// with its control address and location under a lease, and lists the entries of others at its
// start and from time to time. Entries do not decide whether a node is alive; heartbeats do.
package kqdiscovery
