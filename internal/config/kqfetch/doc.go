// Package kqfetch brings objects to a node: from the readers, from peers of the
// same service, and from the platform as the last resort.
package kqfetch
