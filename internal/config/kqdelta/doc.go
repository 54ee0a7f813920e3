// Package kqdelta encodes a root as its difference from an older one. For a change of one
// service, the delta is some hundred bytes instead of ten thousand for the whole root.
package kqdelta
