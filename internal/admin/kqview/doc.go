// Package kqview provides the fleet's state to operators, in the same form for
// the console, the API and the command line.
package kqview
