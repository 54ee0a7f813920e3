//go:build !kqfault

package kqentry

// repeatsAll has calls sent again that may have run and are not idempotent. No build but the soak's own has it.
const repeatsAll = false
