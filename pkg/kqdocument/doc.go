// Package kqdocument defines the operators' document: the whole configuration
// of a fleet, its validation and its JSON form. Nothing reaches the fleet but
// through a document that Validate accepts.
package kqdocument
