// Package kqlog creates the loggers of the parts of a node. Lines are text or
// JSON, and each message is prefixed with the name of its part.
package kqlog
