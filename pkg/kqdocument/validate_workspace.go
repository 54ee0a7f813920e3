package kqdocument

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// maxKeys is the largest number of keys of one workspace, and maxAdoptedKeys that in an
	// adopted document. A value of the store holds fewer keys than the latter.
	maxKeys        = 100
	maxAdoptedKeys = 200000
	// maxRate is in calls a second, and the largest burst is as many calls.
	maxRate = 10000000
)

// checkWorkspaces checks the workspaces. A key that two of them hold is refused, since its
// callers could not be told apart.
func (c *checker) checkWorkspaces(list []Workspace) {
	uniqueNames(c, "workspaces", list, func(w Workspace) kqname.Workspace { return w.Name })
	holders := make(map[string]kqname.Workspace)
	for i, w := range list {
		at := fmt.Sprintf("workspaces[%d]", i)
		c.reportIf(!slices.Contains(classes, w.Class), at+".class", "must be critical, normal or background")
		c.checkAmount(at+".rate_per_s", w.RatePerS)
		c.checkAmount(at+".burst", w.Burst)
		c.checkKeyCount(at+".key_digests", len(w.KeyDigests))
		for j, d := range w.KeyDigests {
			field := fmt.Sprintf("%s.key_digests[%d]", at, j)
			c.reportIf(!isKeyDigest(d), field, "is not a SHA-256 digest in lower-case hex")
			if holder, ok := holders[d]; ok {
				c.reportIf(true, field, fmt.Sprintf("is also a key of workspace %.64q", string(holder)))
			}
			holders[d] = w.Name
		}
	}
}

func (c *checker) checkKeyCount(path string, count int) {
	limit := maxKeys
	if c.adopted {
		limit = maxAdoptedKeys
	}
	c.reportIf(count > limit, path, fmt.Sprintf("has more than %d keys", limit))
}

func (c *checker) checkAmount(path string, n float64) {
	// Negated so that NaN, for which every comparison is false, is refused too.
	c.reportIf(!(n >= 0 && n <= maxRate), path, fmt.Sprintf("must be from 0 to %d", maxRate))
}

// isKeyDigest reports whether the text is a SHA-256 digest in lower-case hex.
func isKeyDigest(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == sha256.Size && hex.EncodeToString(raw) == text
}
