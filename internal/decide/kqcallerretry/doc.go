// Package kqcallerretry recognizes a caller's retry of a refused or failed call, and
// returns the time of the first attempt.
//
// Load pattern: overload, retry storm. Each attempt of a caller is a call of its own. If a
// retry counted as a new call, its target would be computed from the time of the retry: it
// would be queued before calls that can still meet their targets, and its answer would be
// late, as would the answers to calls queued behind it. At three times the capacity, two
// thirds of the answers would be late although each could be in time.
//
// A call without a successful answer is remembered by a hash of the caller and the request,
// at most for as long as its caller waits, and less if very many calls fail. Identical
// concurrent requests are distinguished by their number only; which of them counts as new
// makes no difference.
package kqcallerretry
