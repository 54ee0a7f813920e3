// Package kqoverlay derives a node's neighbours in the overlay from its member table,
// and the dead members that it probes. It opens no connections.
package kqoverlay
