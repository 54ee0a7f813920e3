// Package kqrawserver is a server whose responses are bytes that a test gives, valid HTTP or not,
// with or without an end. It stands in for servers in trouble.
package kqrawserver
