// Package kqpace spaces out large responses over a server's link.
//
// Load pattern: large responses among small ones on a narrow link. Written at once, a response
// of 500 KB fills the queue of a link of 10 Mbit/s for 0.4 s, and every small response of that
// server waits behind it, although its upstream has answered in time. The waits do not show in
// the queue for slots, so no other decision sees them.
//
// The beginning of each response is sent at once, and counted. What is beyond is sent in pieces,
// each once the link has had time for what was counted before it. Large responses thus share
// what the small ones leave, piece by piece in turn, and a small response waits behind a piece
// or two.
package kqpace
