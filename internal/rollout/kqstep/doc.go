// Package kqstep decides the next step of a rollout: hold, advance, done or
// take back (roll back).
//
// It is designed for a new version that turns out bad: at once, later, or only
// under load. A fixed timer could give such a version all traffic before its
// faults show. Most of the time is spent at the small share, where a bad version
// affects only one call in twenty; the later steps are short. The last step
// leaves a third of the traffic to the old version, so that both have a similar
// load and can be compared to the end.
//
// An ordered rollout (one with a Plan.Duration) lasts seconds. It leaves the small
// share after a third of its window, and at its last step the new version may get
// more than its share.
package kqstep
