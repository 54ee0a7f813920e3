// Package kqstoreclient is the client that a node uses if its settings name no adapter.
// It speaks JSON over HTTP, by the protocol that the fake service in kqfakestore serves.
// It can also set the faults of the fake service and read its counts.
package kqstoreclient
