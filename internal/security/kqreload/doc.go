// Package kqreload polls files and calls a function that loads them when their content
// changes.
package kqreload
