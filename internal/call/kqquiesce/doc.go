// Package kqquiesce stops a listener from being offered new connections while
// those that are already under way can still be accepted.
package kqquiesce
