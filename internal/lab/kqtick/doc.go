// Package kqtick defines one tick of a rollout as it is recorded in traces.
package kqtick
