// Package kqstoreclient speaks to the platform's key-value service in JSON over
// HTTP.
package kqstoreclient
