// Package kqresetlistener provides a listener that can reset all its connections at
// once, even with data in flight, as when a VM is lost. It also counts the bytes that
// the connections carry, independently of the code under test.
package kqresetlistener
