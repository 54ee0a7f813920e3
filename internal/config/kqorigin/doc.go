// Package kqorigin makes configuration versions from keys that operators write
// into the store themselves: one whole document, and orders for rollouts beside
// it. It stands in for commits where operators do not use this program's own
// console. Every node that reads comes to the same root and the same objects
// from the same keys, so that peers can give each other what they lack.
package kqorigin
