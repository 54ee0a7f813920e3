// Package kqshed decides at the entry which calls of a service are refused
// before they are sent, because the service as a whole is full.
//
// Load pattern: overload of a whole service. Without it each refused call costs
// a trip to a gate, and at several times the capacity the nodes are busy with
// refusing; important calls stand in line with the others to be refused.
//
// The entry counts, for each class, calls and those that were refused for load,
// with older ones counting less; the rest is taken in, or on its way. It refuses
// a call with the chance (calls - factor × taken in) / calls. The load that reaches the gates
// settles at factor times what they take in, so that they stay full and a
// change for the better is seen at once. The factor is smaller for less important
// classes, which are to make room first.
//
// Within a class, calls that cannot make their targets any more are refused before those
// that can: refused at random, callers who have just come would give way to others whose
// answers are late in any case.
package kqshed
