// Package kqresetlistener provides a listener that can reset all its connections at once, as when
// a VM is lost, whatever data is in flight. It also counts the bytes that the
// connections carry, independently of the code under test.
package kqresetlistener
