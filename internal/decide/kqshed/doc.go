// Package kqshed decides at the entry which calls of a service are refused
// before they are sent, because the service as a whole is overloaded.
//
// Load pattern: overload of a whole service. Without load shedding at the entry, each
// refused call costs a round trip to a gate. At several times the capacity the nodes spend
// their time on refusals, and important calls queue with the others to be refused.
//
// For each class the entry keeps decaying counts of calls and of those refused for load;
// the difference was accepted or is in flight. It refuses a call with probability
// (calls - factor × accepted) / calls, so that the load on the gates settles at factor
// times what they accept. The gates stay fully used, and recovery shows at once. The factor
// is smaller for less important classes, which are shed first.
//
// Calls of a workspace are counted apart from those of others. Gates share their slots between
// workspaces, so that they refuse the calls of the one that sends too many; counted together,
// its refusals would shed the calls of all workspaces of its class.
//
// Within a class, calls that can no longer meet their targets are shed before those that
// can. Random shedding would drop first attempts in favour of retries whose answers are
// late in any case.
package kqshed
