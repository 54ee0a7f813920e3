// Package kqmemberlog batches the changes of members' records for the log. Each node learns of
// each change of each other, so a line for every one would make the fleet's log grow with the
// square of its size, most of all when many nodes restart.
package kqmemberlog
