// Package kqlog creates the loggers of the parts of a node. Lines are text or
// JSON, and each message is prefixed with the name of its part. The package does not
// decide which calls are logged; package kqrecord does.
package kqlog
