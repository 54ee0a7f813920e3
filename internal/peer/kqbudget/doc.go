// Package kqbudget keeps a node's control traffic within its send budget.
package kqbudget
