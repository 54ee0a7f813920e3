// Package kqlocal holds the upstreams that have announced themselves to this node. An
// upstream that stops renewing its announcement is removed.
package kqlocal
