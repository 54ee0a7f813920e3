// Package kqreclaim decides which clients give way when a process runs short of memory or of
// connections.
//
// It answers clients that hold both without making progress: connections that stay idle, requests
// that stop before their end, responses that are not read. Without it, a few dozen such clients keep
// the room that ordinary requests need until their timeouts, and begin again afterwards.
//
// No client gives way for whose request a server works.
package kqreclaim
