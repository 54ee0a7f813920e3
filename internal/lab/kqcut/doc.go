// Package kqcut makes a server die the way a lost VM does: every connection
// breaks at once, whatever is on its way. It also counts the bytes that the
// connections carry, apart from the code under test.
package kqcut
