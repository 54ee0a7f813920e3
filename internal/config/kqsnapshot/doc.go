// Package kqsnapshot holds one whole, immutable configuration version as a
// node's traffic needs it: the routes of some hosts and every service that
// those routes name.
package kqsnapshot
