// Package kqbootstrap reads, with one call to the store, everything that a starting node
// needs from it. Nodes often start together, after an outage or in a deployment; separate
// calls for nodes, departures and rollouts would multiply the store's load at that moment.
package kqbootstrap
