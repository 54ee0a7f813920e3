// Package kqdetector detects failed members by missed heartbeats.
package kqdetector
