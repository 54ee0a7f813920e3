// Package kqconnection splits the bytes of a server's connections into single requests and
// serves pipelined safe requests concurrently.
//
// fasthttp reads ahead and does not expose that. With two pipelined requests it has already
// read the second when it answers the first; it holds back the first response until the
// second is ready and, if the first response closes the connection, leaves the second
// without one. A caller would see a call that the node has read end without a response.
// When fasthttp gets one request at a time, each response is sent as soon as it is ready,
// and the server can check for another pending request before it closes the connection.
//
// While a GET or HEAD request is served, those behind it are usually read, and safe ones
// are started before it has been answered. fasthttp still gets every request, and its
// response, in order.
//
// The package only finds where requests end; fasthttp parses them. It also reserves the memory of
// connections, heads and pipelined requests, records the progress of clients for package kqreclaim,
// and closes connections so that the last response arrives.
package kqconnection
