// Package kqclient asks a node's administration API.
package kqclient
