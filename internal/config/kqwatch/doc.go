// Package kqwatch follows the root on the platform's service by a long-polling watch
// and, since a watch can stop reporting changes, a slow poll.
package kqwatch
