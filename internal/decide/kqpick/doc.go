// Package kqpick chooses the upstream that a call is sent to.
//
// Load patterns: slow upstream, churn, loss of a failure domain. A random choice
// gives each upstream the same number of calls, whatever it can take: one that
// is 20 times slower holds a sixth of the calls of six, and each waits there. A
// choice of the best by reports that are a moment old sends every entry's calls
// to the same one. Here the better of two random choices is taken, which evens
// the load out and never herds.
//
// The better one has the lower (running + waiting + on the way from here + 1) /
// slots × its calls' recent time. Upstreams of the entry's own failure domain
// go first while they have room, as that saves the way between domains; once
// they are busy, all are equal, so that losing a domain only makes the choice
// smaller. New upstreams are eased in, since their first calls pay for the cold
// start and for 1 ms a connection.
//
// Grounds for the figures: room is up to 70% of the slots without a queue, below
// which a call hardly waits; a new upstream looks 4 times as loaded as it is at
// first and less so over 10 s, which a cold start lasts; a report older than 1 s
// says nothing of the queue any more.
package kqpick
