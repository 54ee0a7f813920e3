// Package kqlimit adapts the concurrency limit of an upstream to its latency, for
// upstreams that announce more slots than they can use.
//
// Load pattern: overload of an upstream that announces more slots than it has processors,
// locks or connections for. Its calls slow each other down: with all announced slots in
// use it answers fewer calls a second than with half of them, and few in time. Without an
// adaptive limit, the gate keeps it in that state.
//
// While all allowed slots are in use, mean latency is compared with the baseline, which is
// taken with at most half of the slots in use. Above 2 times the baseline, the limit falls
// by one slot. Below 1.5 times, it rises by one, up to the announced slots. Above half of
// the announced slots, each raise that had to be reverted increases the delay before the
// next. If latency has not improved once half of the slots are withheld, load is not the
// cause (a slow database, for example): all slots are allowed again, and the current latency
// becomes the baseline.
package kqlimit
