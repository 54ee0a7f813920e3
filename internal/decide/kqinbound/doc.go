// Package kqinbound decides when other nodes may send large request bodies to a server, so that
// the bodies do not fill the queue of its link.
//
// Load pattern: large uploads to few servers on narrow links. Ten bodies of 60 KB that are sent
// at once keep a link of 13 Mbit/s busy for 0.4 s. Everything else that is sent to the server
// waits behind them: connections cannot be opened in time, short calls miss their deadlines,
// and new configuration arrives late. TCP shares the link among connections and does not
// prefer the short ones.
//
// A node that has a large body therefore asks first, and sends the body once the link has had
// time for the bodies that were allowed before. Bodies that would have to wait for too long are
// refused before they cross the link, so that another server can still take them.
package kqinbound
