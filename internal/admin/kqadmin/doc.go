// Package kqadmin implements the admin server: health probes, metrics, the
// administration API and the console.
package kqadmin
