// Package kqstart decides when a starting node has enough answers to serve the newest
// configuration version among them.
package kqstart
