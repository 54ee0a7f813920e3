// Package kqsuspicion judges from heartbeats which members have gone.
package kqsuspicion
