// Package kqwork estimates how long an upstream takes for a call of a route, its work,
// and separates short routes from long ones.
//
// Load pattern: long jobs among short calls, and any queue that must be measured in time
// rather than in calls. Without estimates, a gate treats all calls alike and queues calls
// that cannot be answered by their deadline.
package kqwork
