// Package kqstart decides when a starting node knows the newest version.
package kqstart
