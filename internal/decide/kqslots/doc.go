// Package kqslots decides at a gate which call gets one of the upstream's
// slots, which waits and which is refused.
//
// Load patterns: burst, overload, hot caller, long jobs among short ones, nested calls.
//
// A call is taken in only if, by the work of those who would be served before
// it, it will begin in time; otherwise it is refused at once, while its caller can
// still go elsewhere. Without that the queue fills with calls that are served when
// nobody waits for them any more, and goodput falls while the upstream is fully busy.
// How long calls are expected to wait is corrected by how long they did wait lately:
// callers whose turn comes first overtake those who were there before.
//
// A call with a target is in time if it begins early enough to make it. Calls that can
// still make theirs are served first. Those that cannot, since their caller has come back
// or the queue was slower than expected, wait in lanes of their own for the slots that
// the others leave; where these leave none, they are refused. In one queue the late ones
// make those behind them late as well, and an upstream that is fully busy answers hardly
// anybody in time. A target that is out of reach at this upstream counts as none. A call
// without a target may wait for a share of the time that it has left, which is less for
// less important classes, and little once its caller's calls have had to wait for long.
//
// While the queue is calm the oldest goes first, since all will be served and first come
// is fair. Once calls wait beyond what they were promised, the newest go first and whoever
// waited too long is refused there and then.
//
// Nested calls are served before all others, and only their deadline counts: another call
// holds a slot at its upstream while it waits for one, and all its work is lost with it.
//
// Short calls and long jobs wait apart, and what short calls have needed lately, up to
// half of the slots, never goes to long jobs: otherwise a few long jobs take every slot
// and each short call waits for as long as a long job lasts. Callers within a line share
// by kqfair; a class is served before the less important ones.
package kqslots
