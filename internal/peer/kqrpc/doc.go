// Package kqrpc carries typed requests between nodes, as drpc calls with CBOR
// messages over one persistent TCP connection to each peer.
package kqrpc
