// Package kqlease decides when a node acquires, renews and gives up a lease on one of the
// reader slots of its failure domain. It sends no requests to the platform itself.
package kqlease
