// Package kqproblem is the form in which operators' requests are refused:
// application/problem+json with a stable code.
package kqproblem
