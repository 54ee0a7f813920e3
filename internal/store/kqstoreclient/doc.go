// Package kqstoreclient is a client of the fake key-value service in kqfakestore,
// which speaks JSON over HTTP.
package kqstoreclient
