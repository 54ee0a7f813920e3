// Package kqmember holds a node's membership table: the state of every node of the
// fleet, and the upstreams that have announced themselves to each. It sends nothing;
// kqmembersync synchronizes the tables of the nodes.
package kqmember
