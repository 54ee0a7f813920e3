// Package kqplayers implements a kqreplay.Player for each decision that traces can
// be recorded for, one file per decision. A new decision needs an entry in All and
// a section in docs/TRACES.md.
package kqplayers
