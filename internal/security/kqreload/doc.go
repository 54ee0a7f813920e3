// Package kqreload takes in files anew when their content changes.
package kqreload
