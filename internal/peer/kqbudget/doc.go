// Package kqbudget limits the rate of a node's outgoing control traffic.
package kqbudget
