// Package kqstep decides the next step of a rollout: hold, advance, done or
// take back.
//
// The load pattern is a new version that turns out bad: at once, later, or
// only under load. Without the decision, a fixed timer would give it all
// traffic before its badness can show. Most of the time goes to the small
// share, since every call of a bad version there harms one caller in twenty;
// the rest moves quickly. The last step leaves a third to the old version, so
// that both have much the same load and can be compared to the end.
package kqstep
