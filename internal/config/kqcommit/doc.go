// Package kqcommit commits the operators' document to the platform's key-value
// service and reads it back.
//
// A commit first writes an intent, which names the request ID, the digest of
// its content and every object that it may write. It then writes the objects,
// which are immutable and keyed by digest, and a history record of the current
// root. Last it replaces the root by compare-and-swap, which is the commit
// point. The platform cannot list keys, so every object must be reachable from the
// root, the history (one record per version) or the index of intents. Garbage
// collection deletes the objects that none of these needs any longer.
//
// The package does not watch the root or distribute versions to nodes.
package kqcommit
