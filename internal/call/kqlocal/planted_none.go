//go:build !kqfault

package kqlocal

// ignoresDrain has an upstream that drains used on. No build but the soak's own has it.
const ignoresDrain = false
