// Package kqinterest records which hosts a node's traffic uses, and when each was last
// used. Package kqreplica holds the routes of these hosts.
package kqinterest
