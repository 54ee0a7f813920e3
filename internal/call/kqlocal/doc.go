// Package kqlocal keeps the upstreams that have announced themselves to this
// node. An upstream that stops renewing is forgotten.
package kqlocal
