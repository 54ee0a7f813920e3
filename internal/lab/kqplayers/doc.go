// Package kqplayers implements a kqreplay.Player for each kind of decision that
// traces can be recorded for, one file per kind. A new kind needs an entry in All and
// a section in docs/TRACES.md.
package kqplayers
