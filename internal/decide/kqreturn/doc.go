// Package kqreturn knows callers who come back after a refusal or a failure, and since
// when they have been asking.
//
// Load pattern: overload, retry storm. Each try of a caller is a call of its own. Taken
// for a new one, a call whose caller was refused a moment ago has the whole of its
// route's target before it again: it is queued before calls that can still make theirs,
// its answer comes late, and so does that of whoever waits behind it. At three times the
// capacity two thirds of the answers come late then, though every one could be in time.
//
// A call that has no good answer is remembered for as long as its caller waits, by who
// asked for what. Callers who ask for the same at once are told apart by their number
// alone; which of them counts as new does not matter to the others.
package kqreturn
