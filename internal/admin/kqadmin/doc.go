// Package kqadmin serves operators: probes, metrics, the administration API and
// the console.
package kqadmin
