// Package kqneighbour chooses the few peers to which a node keeps overlay links.
package kqneighbour
