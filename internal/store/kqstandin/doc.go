// Package kqstandin is a stand-in for the platform's key-value service, kept in
// memory, for tests and demonstrations. Its faults can be switched on and off,
// and it counts calls the way the platform does.
package kqstandin
