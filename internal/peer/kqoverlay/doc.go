// Package kqoverlay derives a node's neighbours from its member table.
package kqoverlay
