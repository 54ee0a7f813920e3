// Package kqslowdown keeps how many times longer than usual an upstream's work takes at this
// moment, by the upstream's own reports and by how long its calls took.
//
// Load pattern: upstreams that become 2.5 times slower for about 600 ms at a time. By
// durations alone a gate sees such a period once its calls have ended late, and then expects
// slow work for many calls after the period.
//
// A report may be wrong or outdated. It is believed for as long as such a period usually
// lasts and up to a bound, and less the more calls took another time than it implied.
package kqslowdown
