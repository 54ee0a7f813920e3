// Package kqdocument defines the configuration document of a fleet, its validation
// and its JSON form. The fleet only applies configuration from documents that
// Validate accepts.
package kqdocument
