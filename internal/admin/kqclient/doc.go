// Package kqclient is an HTTP client for a node's administration API.
package kqclient
