// Package kqquiesce stops a listener from receiving new connections while those already
// established can still be accepted.
package kqquiesce
