// Package kqorigin builds configuration versions from keys that operators write
// directly to the store: a whole document and, under keys of their own, orders, each of which
// adds a rollout or an evacuation to the document. It replaces kqcommit where operators do
// not use this program's console and API, and writes nothing to the store but a record of
// the document in force. Nodes that accept the same entries build the same objects, so that
// peers can exchange them.
//
// The version of a root is the store revision of the newest entry that was applied, or
// of the listing that showed the deletion of an order, if that is higher. The operators'
// own number for a document serves only to refuse documents that are not newer. The record
// lets nodes that restart, or were cut off from the store, refuse them too.
package kqorigin
