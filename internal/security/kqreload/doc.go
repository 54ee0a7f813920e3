// Package kqreload reloads files when their content changes.
package kqreload
