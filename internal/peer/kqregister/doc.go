// Package kqregister lets nodes find each other through the store: each keeps
// an entry with its control address under a lease, and looks up others' while
// it starts and from time to time. Who is alive is not read off the entries;
// peers tell that from heartbeats.
package kqregister
