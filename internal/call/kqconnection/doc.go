// Package kqconnection gives a server the bytes of its connections one request at a
// time, and tells what the server's library does not.
//
// The library reads ahead. Of a caller that sends two requests at once it has read the
// second when it answers the first, and does not say so: it holds the first answer back
// until the second is ready too, and where the first answer closes the connection the
// second request has none. A caller would see a call that the node has read end without
// an answer. With one request at a time each answer goes out when it is ready, and the
// server can ask whether another request waits before it closes.
//
// Requests that come behind the one under way are read meanwhile, and safe ones are served
// before their turn; the library is given each in its turn all the same, and its answer
// then.
package kqconnection
