// Package kqpick chooses the upstream that a call is sent to.
//
// Load patterns: slow upstream, churn, loss of a failure domain. A random choice
// gives each upstream the same number of calls, whatever it can take: one that
// is 20 times slower holds a sixth of the calls of six, and each waits there. A
// choice of the best by reports that are a moment old sends every entry's calls
// to the same one. Here the best of four random choices is taken, within the own
// failure domain too, which evens the load out: at three quarters of the capacity of
// 14 upstreams, 18 entries that choose the best of all make nearly every second call
// late, and none so.
//
// The best one has the least expected time: its calls' recent time, more while it
// is cold, and the wait once its slots are nearly all in use. While slots are free
// a call takes as long as the upstream works, so that a fast one with some calls
// is better than a slow one with none; in overload the wait decides. Upstreams of
// the entry's own failure domain are taken for a fifth faster, as that saves the
// way between domains.
//
// An upstream that fails part of its calls, by what its gate saw of all entries',
// counts as slower by what a failure costs, and further ones are drawn until four do
// not fail. This holds while the service has slots to spare, by the mean of all fresh
// reports: in a burst the others have no room for those calls as well, and callers
// would rather take their chance than wait in vain. Half of 14 upstreams failing 1 in
// 10, 5.8 in 100 calls fail instead of 8.1.
//
// Grounds for the figures: a wait counts from three quarters of the slots in use,
// as reports are some calls old; an upstream that says that it is cold takes twice
// as long, and one that says nothing looks 4 times as slow at first and less so
// over 10 s, which a cold start lasts; a report older than 1 s says nothing of the
// queue any more.
package kqpick
