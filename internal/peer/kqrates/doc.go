// Package kqrates keeps the rates of workspaces over all nodes together. Every node reports the
// calls of each workspace every 500 ms to the coordinator of the workspace's shard, which answers
// with the share of calls to admit. Package kqadmission decides for the node and kqrateshare for
// the coordinator; this package chooses coordinators and carries reports. It sends nothing while
// no workspace has a rate.
package kqrates
