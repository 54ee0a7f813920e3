// Package kqnodes runs many real nodes on loopback in one process over the
// platform's stand-in, and measures how configuration reaches them.
package kqnodes
