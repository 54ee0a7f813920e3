// Package kqwork expects how long an upstream will need for a call of a route,
// and tells short routes from long ones.
//
// Load pattern: long jobs among short calls, and any queue that must be told in
// time rather than in calls. Without it a gate takes each call for the same and
// promises a place to calls that cannot be done by their deadline.
//
// Grounds for the figures: the average moves by an eighth with each call, so
// that some 20 calls forget a change and one straggler moves it little. A route
// is long from 4 times the work of the typical call: below that, a short call
// that waits behind one loses no more than it does behind a short queue. At
// most 256 routes are told apart at one gate (2,000 routes over 89 services are
// 23 a service); the others share one entry, so that no caller can make the
// table grow.
package kqwork
