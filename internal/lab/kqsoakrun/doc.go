// Package kqsoakrun runs a fault plan against real processes on one server while
// callers send calls, and checks during the run what callers and upstreams observe.
// Package kqsoak generates the plan, and package kqsoakcheck has the checks.
package kqsoakrun
