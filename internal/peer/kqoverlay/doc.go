// Package kqoverlay keeps a node's neighbours in step with its member table.
package kqoverlay
