// Package kqinterest records which hosts a node's traffic uses, and when each was last
// used.
package kqinterest
