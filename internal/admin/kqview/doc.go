// Package kqview is what operators see of the fleet, the same for the console,
// the API and the terminal.
package kqview
