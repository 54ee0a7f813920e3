// Package kqadmit makes the connections of a listener, and the requests on them, take their memory
// from the process's account, whatever protocol they speak.
//
// Libraries allocate what a peer announces or sends without regard to the rest of the process. A few
// hundred connections with an unfinished message each would exhaust a server's memory. The package
// does not parse messages: what has arrived since the last write is a request.
package kqadmit
