// Package kqrateshare decides for the coordinator of some workspaces which share of their calls
// all nodes together may admit.
//
// Every report of a node lends its portion of each rate for a time and tells for which time the
// node's counts stand. The coordinator's buckets are filled by portions and times that were
// reported, not by the coordinator's clock: a node that reports to another coordinator fills that
// one's buckets, so that any number of coordinators at once give out each rate once, and a
// coordinator that stood still has nothing to give out for that time.
package kqrateshare
