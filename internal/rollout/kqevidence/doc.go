// Package kqevidence counts how calls of an old and a new upstream version
// went, in cells that can be added up over nodes and are of bounded size.
package kqevidence
