// Package kqsnapshot holds an immutable view of one configuration version, reduced
// to what a node needs: the routes of some hosts, every service that those routes
// name, and other services given to Build. It does not fetch objects.
package kqsnapshot
