// Package kqstore defines the interface, types and errors of the platform's
// key-value service: get, put, compare-and-swap on a revision, leases and
// long-polling watches. Packages that use only some operations declare their own
// smaller interfaces.
package kqstore
