// Package kqchild starts processes, follows their output line by line, and ends them
// by their ids.
package kqchild
