// Package kqwork expects how long an upstream will need for a call of a route,
// and tells short routes from long ones.
//
// Load pattern: long jobs among short calls, and any queue that must be told in
// time rather than in calls. Without it a gate takes each call for the same and
// promises a place to calls that cannot be done by their deadline.
package kqwork
