// Package kqsettings reads a node's settings from an INI file. Each key is a
// struct field whose tags give its name, unit, default, bounds and description.
// All errors of a file are reported at once.
package kqsettings
