// Package kqratelimit keeps the calls to one upstream within the rate that it names in its
// answers.
//
// Load patterns: an upstream in need that names a limit for a while, several of a service at
// once, and one that names it on and off.
//
// The limit is the upstream's word for all nodes together. Only its own node sees all calls
// to it and all its answers, so the limit is kept there; any number of nodes that each kept
// it by themselves would send as many times too much.
//
// A token bucket spaces the calls out. In addition, the calls of a sliding window are
// bounded: after the limit has fallen, those of the higher one count. A call takes its token
// when it arrives, so that no more calls queue than may be sent, and the excess is refused at
// once.
//
// The few calls go to the highest priority that has any: some tokens are kept for it, and
// while its calls are refused, those of lower ones are. After four calls of
// others it is the turn of a priority that was refused: one that alone asks for more than the
// limit would keep all others out for as long as it lasts.
//
// After the limit is lifted, the rate grows over some seconds. An upstream that gets all that
// was kept from it at once is in need again in the next moment.
package kqratelimit
