// Package kqfetch fetches configuration objects for a node: from the readers,
// from peers of the same service and, as the last resort, from the platform.
package kqfetch
