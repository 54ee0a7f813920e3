// Package kqproblem defines the error responses to operators' requests:
// application/problem+json with a stable code.
package kqproblem
