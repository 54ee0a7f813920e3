// Package kqquarantine decides which requests must not be sent on because upstreams have
// ended under them.
//
// The load it answers is a request that ends each upstream that runs it, repeated by its
// caller, by the caller's node or by many callers. Without it, each repeat takes one more
// upstream away, until a service has none left. Any node may see an end, and each repeat may
// come by another node, so ends are recorded by what the request is and not by its id, and
// nodes tell each other of them.
//
// An upstream that ends for another reason has innocent requests at work. They are told
// apart by their answers: one whole answer to a call that was sent after an end clears the
// request of it.
package kqquarantine
