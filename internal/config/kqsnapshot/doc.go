// Package kqsnapshot holds an immutable view of one configuration version, reduced
// to what a node's traffic needs: the routes of some hosts and every service that
// those routes name.
package kqsnapshot
