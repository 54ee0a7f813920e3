// Package kqsleep sleeps for a duration or until a context ends.
package kqsleep

import (
	"context"
	"time"
)

// For sleeps for d or until ctx ends, whichever comes first.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
