// Package kqfreshness makes sure that a node's configuration version is the newest that its
// peers know, before a call is refused for an API key that the version does not hold.
package kqfreshness
