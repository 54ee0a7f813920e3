// Package kqlimit learns how many calls an upstream really runs at once, where
// the slots that it announced mislead.
//
// Load pattern: overload of an upstream that announces more slots than it has
// processors, locks or connections for. Its calls slow each other down: with
// every announced slot taken it answers fewer calls a second than with half of
// them, and few in time. Without a limit of our own the gate keeps it there.
//
// While all allowed slots are taken, what calls take is compared with what they
// take when at most half are. Over twice as long, and one slot less is allowed;
// under 1.5 times, one more, up to those announced, and after longer and longer
// if that proves one too many. If half of the slots have
// been taken away and calls do not get faster, the load is not the cause, such
// as behind a slow database: all slots are given back and the new time becomes
// the measure.
package kqlimit
