// Package kqratelog logs and counts what the rates of workspaces allow and refuse.
package kqratelog
