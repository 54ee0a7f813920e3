// Package kqplan identifies the plans of rollouts and computes a plan's times and
// versions. It does not read the clock.
package kqplan
