// Package kqrollouttrace defines one tick of a rollout as it is recorded in traces.
package kqrollouttrace
