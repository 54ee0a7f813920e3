// Package kqsuspicion detects failed members by missed heartbeats.
package kqsuspicion
