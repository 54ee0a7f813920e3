// Package kqdistribute distributes configuration versions over the overlay: a node
// announces a version to its neighbours, and a node that lacks it pulls its root, as a
// delta where possible. The newest version that a node holds never decreases. The
// objects of a version are fetched by the Replica that applies it.
package kqdistribute
