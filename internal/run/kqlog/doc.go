// Package kqlog makes the loggers of the parts: short sentences, as text or
// JSON, each behind the fixed prefix of its part.
package kqlog
