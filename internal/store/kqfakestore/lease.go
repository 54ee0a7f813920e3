package kqfakestore

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

// lease is a granted lease, with the time to live that each renewal restores.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Grant implements kqstore.Store.
func (s *Fake) Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error) {
	if err := s.admit(ctx, (*Fake).countWrite); err != nil {
		return "", fmt.Errorf("grant lease: %w", err)
	}
	defer s.mu.Unlock()
	s.revision++
	id := kqstore.Lease(fmt.Sprintf("lease-%d", s.revision))
	s.leases[id] = lease{ttl: ttl, expires: s.now().Add(ttl)}
	if err := s.writeResult(); err != nil {
		return "", err
	}
	return id, nil
}

// Renew implements kqstore.Store.
func (s *Fake) Renew(ctx context.Context, id kqstore.Lease) error {
	if err := s.admit(ctx, (*Fake).countWrite); err != nil {
		return fmt.Errorf("renew %s: %w", id, err)
	}
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return fmt.Errorf("renew %s: %w", id, kqstore.ErrLeaseLapsed)
	}
	l.expires = s.now().Add(l.ttl)
	s.leases[id] = l
	return s.writeResult()
}

// expireLeases deletes the leases for which expired returns true, together with their
// keys.
func (s *Fake) expireLeases(expired func(lease) bool) {
	for id, l := range s.leases {
		if !expired(l) {
			continue
		}
		delete(s.leases, id)
		for key, r := range s.entries {
			if r.lease == id {
				delete(s.entries, key)
				s.revision++
				s.deleted = append(s.deleted, kqstore.Deletion{Key: key, Revision: s.revision})
			}
		}
		s.wake()
	}
}
