// Package kqbody receives request bodies into memory, in blocks that are reserved before they are
// allocated.
//
// What a client announces takes no memory: not the length of a body or of a chunk, but the bytes
// that have arrived decide how many blocks a body has. The HTTP library allocates a chunk whole, as
// soon as its length has arrived; some dozens of clients that announce large chunks would exhaust a
// server's memory, and the kernel would kill the process and cut every call in flight.
//
// A body of more than one block stays in blocks. A buffer that grows by being copied would take up
// to three times the memory of the body until the garbage is collected.
package kqbody
