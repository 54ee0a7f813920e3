// Package kqsuspicionlog logs and counts the requests under which upstreams end.
package kqsuspicionlog
