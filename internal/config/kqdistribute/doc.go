// Package kqdistribute distributes configuration versions over the overlay: a node
// pushes the version and digest to its neighbours, and a node that lacks the version
// pulls its root. The newest version that a node holds never decreases.
package kqdistribute
