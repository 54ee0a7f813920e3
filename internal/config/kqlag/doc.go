// Package kqlag tells how long a node stays behind a newer configuration version, and at
// which step: waiting for the root of the version, or for its objects.
package kqlag
