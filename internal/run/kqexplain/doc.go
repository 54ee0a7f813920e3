// Package kqexplain reads the logs of nodes and reconstructs how one call was
// handled: each node's decisions with their inputs, and the cause of the outcome.
package kqexplain
