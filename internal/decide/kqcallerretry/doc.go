// Package kqcallerretry recognizes retries by callers after a refusal or failure, and
// when the caller made its first attempt.
//
// Load pattern: overload, retry storm. Each attempt of a caller is a call of its own. If a
// retry counts as a new call, it has the route's whole target before it again: it is
// queued before calls that can still meet theirs, its answer is late, and so are the
// answers to calls queued behind it. At three times the capacity, two thirds of the
// answers are then late although each could be in time.
//
// A call without a successful answer is remembered for as long as its caller waits, by a
// hash of the caller and the request. Identical concurrent requests are distinguished by
// their number only; which of them counts as new makes no difference.
package kqcallerretry
