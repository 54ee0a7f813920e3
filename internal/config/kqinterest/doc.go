// Package kqinterest remembers which hosts a node's traffic uses, and when each
// was last used.
package kqinterest
