// Package kqstart decides when a starting node has found the newest version.
package kqstart
