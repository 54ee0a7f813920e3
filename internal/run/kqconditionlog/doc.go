// Package kqconditionlog logs and counts what a node's upstreams say of themselves in their
// answers: the limits that they name, and that they leave.
package kqconditionlog
