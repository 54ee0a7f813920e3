// Package kqneighbour chooses the few peers that a node keeps links to.
package kqneighbour
