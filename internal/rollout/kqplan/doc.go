// Package kqplan names the plans of rollouts and tells what a plan says of a
// point in time. It reads no clock.
package kqplan
