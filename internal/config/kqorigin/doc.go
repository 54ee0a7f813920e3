// Package kqorigin builds configuration versions from keys that operators write
// directly to the store: a whole document, and separate rollout orders. It replaces
// commits where operators do not use this program's console. Every node that reads
// the same keys builds the same root and objects, so that peers can exchange objects.
package kqorigin
