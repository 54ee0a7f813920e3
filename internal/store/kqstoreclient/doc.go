// Package kqstoreclient is the client that a node uses if its settings name no adapter.
// It speaks JSON over HTTP, by the protocol that the fake service in kqfakestore serves.
package kqstoreclient
