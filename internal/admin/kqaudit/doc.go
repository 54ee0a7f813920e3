// Package kqaudit records the latest changes that operators attempted, accepted
// or refused, in memory and in the log. Accepted changes are also kept in the
// document's history on the platform; refused ones only here and in the log.
package kqaudit
