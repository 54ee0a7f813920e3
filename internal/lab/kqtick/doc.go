// Package kqtick holds one tick of a rollout as traces record it.
package kqtick
