// Package kqpeer carries typed requests between nodes: drpc streams with CBOR
// messages over TCP, one kept connection to each peer.
package kqpeer
