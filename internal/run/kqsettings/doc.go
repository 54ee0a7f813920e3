// Package kqsettings reads a node's settings from an INI file. Each key is a
// tagged field, so that one place gives its name, unit, default, bounds and
// meaning; every fault of a file is told at once.
package kqsettings
