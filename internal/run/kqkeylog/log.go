package kqkeylog

import (
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

const (
	// repeatAfter is the least time between two lines about one key.
	repeatAfter = time.Minute
	// maxKeys bounds the keys whose lines are remembered. Of too many, all are forgotten, which
	// only repeats lines.
	maxKeys = 1024
)

// Log writes one line when a key is refused as revoked, with the key's id: the key cannot be
// found from it. It is safe for concurrent use.
type Log struct {
	log *logrus.Entry

	mu   sync.Mutex
	last map[uint64]time.Time
}

// New returns a Log that writes to log.
func New(log *logrus.Entry) *Log { return &Log{log: log, last: make(map[uint64]time.Time)} }

// Refused records that a call was refused since its key was revoked while the call waited.
func (l *Log) Refused(c *kqcall.Call, now time.Time) {
	l.mu.Lock()
	last, ok := l.last[c.KeyID]
	isRepeated := ok && now.Sub(last) < repeatAfter
	if !isRepeated {
		if len(l.last) >= maxKeys {
			clear(l.last)
		}
		l.last[c.KeyID] = now
	}
	l.mu.Unlock()
	if isRepeated {
		return
	}
	l.log.WithFields(logrus.Fields{
		"event": "key_revoked", "workspace": c.Workspace, "key": fmt.Sprintf("%016x", c.KeyID), "version": c.ConfigVersion,
	}).Info("Key was revoked while calls with it waited.")
}
