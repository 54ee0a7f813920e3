// Package kqdelta states a root as its difference from an older one, which for
// a change of one service is some hundred bytes in place of the whole root's
// ten thousand.
package kqdelta
