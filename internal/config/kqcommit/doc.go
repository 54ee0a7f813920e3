// Package kqcommit writes the operators' document to the platform's service
// and reads it back.
//
// A commit first leaves an intent, which names the request id, its content and
// every object that it may write; then it writes the objects, which are
// immutable and named by digest, and the root in force into the history; and
// last it swaps the root. The swap alone commits. The platform has no verb that
// lists keys, so whatever is to be found again is named by the root, the
// history (one record a version) or the ledger of intents.
package kqcommit
