// Package kqfault holds faults that are put into the program on purpose, to see that
// the soak finds them. A build without the tag kqfault has none of them.
package kqfault
