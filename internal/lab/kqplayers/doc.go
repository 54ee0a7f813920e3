// Package kqplayers lets recorded traces run through the decision packages,
// one file a decision. A new decision adds its line to All and a section to
// docs/TRACES.md.
package kqplayers
