// Package kqfakestore is an in-memory fake of the platform's key-value service for
// tests and demonstrations. Faults can be injected at run time, and calls are counted
// as the platform counts them.
package kqfakestore
