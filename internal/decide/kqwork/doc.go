// Package kqwork estimates the work of a call of a route, which is the time that the
// upstream takes for it, and separates short routes from long ones.
//
// Load pattern: long jobs among short calls, and any queue whose length must be known in
// time rather than in calls. Without estimates, a gate treats all calls alike and queues
// calls that cannot be answered by their deadline.
package kqwork
