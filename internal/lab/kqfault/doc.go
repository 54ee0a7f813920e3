// Package kqfault defines faults that can be injected into the program, to verify that
// the soak detects them. Builds without the tag kqfault contain none of them.
package kqfault
