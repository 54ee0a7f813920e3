// Package kqbuffer keeps released buffers for those that are needed next.
//
// Garbage counts as memory of the process until it is collected. Bodies and responses of many clients
// would otherwise take twice their memory.
package kqbuffer
