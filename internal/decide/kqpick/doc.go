// Package kqpick chooses the upstream that a call is sent to.
//
// Load patterns: slow upstream, churn, loss of a failure domain. A random choice
// gives each upstream the same number of calls, whatever it can take: one that
// is 20 times slower holds a sixth of the calls of six, and each waits there. A
// choice of the best by reports that are a moment old sends every entry's calls
// to the same one. Here the best of three random choices is taken, which evens the
// load out and never herds.
//
// The best one has the least expected time: its calls' recent time, more while it
// is cold, and the wait once its slots are nearly all in use. While slots are free
// a call takes as long as the upstream works, so that a fast one with some calls
// is better than a slow one with none; in overload the wait decides. Upstreams of
// the entry's own failure domain are taken for a fifth faster, as that saves the
// way between domains.
//
// Grounds for the figures: a wait counts from three quarters of the slots in use,
// as reports are some calls old; an upstream that says that it is cold takes twice
// as long, and one that says nothing looks 4 times as slow at first and less so
// over 10 s, which a cold start lasts; a report older than 1 s says nothing of the
// queue any more.
package kqpick
