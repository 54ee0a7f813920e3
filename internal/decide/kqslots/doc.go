// Package kqslots decides at a gate which call gets one of the upstream's
// slots, which waits and which is refused.
//
// Load patterns: burst, overload, hot caller, long jobs among short ones.
//
// A call is taken in only if, by the work of those who would be served before
// it, it will begin within a share of the time that it has left; otherwise it is
// refused at once, while its caller can still go elsewhere. Without that the
// queue fills with calls that are served when nobody waits for them any more,
// and goodput falls while the upstream is fully busy. While the queue is calm
// the oldest goes first, since all will be served and first come is fair. Once
// calls wait beyond what they were promised, because the upstream has become
// slower, the newest go first and whoever waited too long is refused there and
// then: served oldest first, each would be reached just as it becomes late.
//
// Short calls and long jobs wait apart, and half of the slots never go to long
// jobs: otherwise a few long jobs take every slot and each short call waits for
// as long as a long job lasts. Callers within a line share by kqfair; a class
// is served before the less important ones, and those are promised less, so
// that background calls are refused first.
//
// Grounds for the figures: a normal call may wait for 0.6 of its time, which
// leaves two thirds as much again for the work, for a mistaken expectation and
// for the network; background calls for an eighth. A burst of 2 s at 1.5 times
// the capacity leaves 1 s of work; calls with 2 s ride it out, with a fifth to
// spare for gates that got more than others. A caller whose calls have had to
// wait for 4 s is in no burst: from then on a tenth of that is allowed, until
// they find hardly anybody before them, since waiting would no longer save a
// call but only make all of them slow.
package kqslots
