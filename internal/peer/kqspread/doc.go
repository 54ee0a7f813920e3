// Package kqspread hands small messages to every node. A message may arrive
// late or not at all; what it says must bear that.
package kqspread
