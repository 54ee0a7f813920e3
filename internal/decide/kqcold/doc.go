// Package kqcold bounds the calls that one upstream gets while it is cold, or may be.
//
// Load patterns: servers that come back cold, one by one or all at once; servers that become
// cold again without a restart.
//
// A cold upstream is slow, and crashes if it gets more calls a second than it bears. It comes
// back cold, is offered the same load, and crashes again: without a bound, the loop goes on
// after everything but the usual load is gone.
//
// The few calls that a cold upstream bears go to the highest priority that has any: while its
// calls are refused, those of lower ones are.
//
// An upstream's word that it is warm holds for the moment of its health check only. Calls
// beyond the bound therefore need a check that is recent by the calls sent since: as many as
// the bound allows may follow one check. An upstream that gets fewer calls than the bound
// needs no checks at all, and one that has become cold unnoticed gets no more than the bound.
package kqcold
