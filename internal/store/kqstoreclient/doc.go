// Package kqstoreclient is a client of the platform's key-value service, which
// speaks JSON over HTTP.
package kqstoreclient
