// Package kqmemory keeps one account of the memory and the connections that a process's clients use.
//
// Each byte that is held for a client is reserved before it is allocated: the buffers of its
// connection, the head and the body of its request, the call, the response. Bounds on single
// requests do not bound a process, since clients may be many; without the account, a crowd of them
// makes the process exceed the memory of its server, and the kernel kills it with all its calls.
//
// When memory or connections run short, clients that make no progress give way; see package
// kqreclaim.
package kqmemory
