// Package kqchild starts processes, reads their output line by line, and ends them by
// their process ids.
package kqchild
