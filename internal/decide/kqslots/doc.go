// Package kqslots decides, at a gate, which call gets one of the upstream's
// slots, which call waits and which is refused.
//
// Load patterns: burst, overload, hot caller, long jobs among short ones, nested calls.
//
// A call is admitted only if it is expected to start in time, given the work that is served
// before it. Otherwise it is refused at once, while its caller can still retry elsewhere.
// Without this, the queue fills with calls whose callers have given up by the time they are
// served, and goodput falls while the upstream is saturated. The expected wait is corrected
// by recent actual waits, because calls of callers that are served first overtake calls
// that are already queued.
//
// A call with a target is in time if it starts early enough to meet the target. Calls that
// can still meet theirs are served first. Calls that cannot, because of an earlier refusal
// or a queue slower than expected, wait in separate queues for slots that the others leave
// unused, and are refused if there are none. In a single queue, late calls would delay the
// calls behind them too, and a saturated upstream would answer hardly any call in time. A
// target that this upstream cannot meet even when idle is ignored. A call without a target
// is queued if it is expected to wait for at most a share of its remaining time; the share
// is smaller for the least important class, and much smaller once its caller's calls have
// queued for long.
//
// In each queue, a caller's calls are served oldest first while every call can expect to be
// served. Once the oldest call of the queue has nearly used up its maximum wait, they are
// served newest first, and a call that has waited too long is refused immediately.
//
// A nested call has the class of the call that waits for it, and goes before the other calls
// of that class, both among short calls and among long jobs. Its deadline counts rather than
// its target: the calling call holds a slot at its own upstream meanwhile, and its work is
// lost if the nested call fails. Before more important classes, the nested calls of background
// calls would take all slots of a service that both use.
//
// Long jobs are calls of routes that take at least 4 times the typical work, and so long
// that an upstream that runs only such calls frees a slot at most every 100 ms. They wait in
// queues apart from short calls, and twice the recent demand of short calls, up to half of
// the slots, is reserved for the latter until a second after the last of them. Otherwise a
// few long jobs would occupy every slot and delay each short call by the duration of a long
// job. Within a queue, kqshare divides the slots among workspaces, and among the callers without
// one; more important classes are served first.
//
// Calls in excess of their workspace's usual load (kqexcess) are served after all others, late
// ones included, and leave one slot free until a second after the last other call. Calls run to
// their end: with all slots full of excess calls, each other call would wait for one to end.
package kqslots
