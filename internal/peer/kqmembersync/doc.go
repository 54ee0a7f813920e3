// Package kqmembersync synchronizes the member tables of all nodes. Heartbeats on the
// links of the overlay detect failures, changed records flood over the same links,
// and comparisons of tables with peers (anti-entropy) repair what the flood lost.
package kqmembersync
