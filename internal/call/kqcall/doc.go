// Package kqcall holds what a call carries from filter to filter and from node
// to node, and the three ways in which it can end.
package kqcall
