// Package kqcatchup decides when a node asks its peers for their newest configuration version
// before it refuses a call for an unknown API key, and what it concludes from their answers.
//
// Load pattern: a flood of made-up keys, and callers that use a key moments after it was added.
// The flood must cost neither messages nor memory, and the added key must not be refused as
// unknown at a node that a newer version has not reached yet.
package kqcatchup
