// Package kqtrail remembers how rollouts went, so that operators see a course
// and not only the present. It is a view: nothing is decided by it.
package kqtrail
