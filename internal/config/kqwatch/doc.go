// Package kqwatch follows the root on the platform's service: one waiting
// watch, and a slow poll beside it, since a watch can go silent.
package kqwatch
