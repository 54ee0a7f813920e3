package kqchange_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqaudit"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqchange"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// delayedSwapStore keeps the first swap of the root in flight until deliver, and
	// reports the store as unavailable until then.
	delayedSwapStore struct {
		*kqfakestore.Fake
		deliver func()
	}

	noCounter struct{}
)

func (noCounter) AdminCommitted(string) {}

func (d *delayedSwapStore) Swap(ctx context.Context, key string, e kqstore.Revision, value []byte, l kqstore.Lease) (kqstore.Revision, error) {
	if key != kqcommit.RootKey {
		return d.Fake.Swap(ctx, key, e, value, l)
	}
	d.deliver = func() { _, _ = d.Fake.Swap(context.WithoutCancel(ctx), key, e, value, l) }
	return 0, fmt.Errorf("no response: %w", kqstore.ErrUnavailable)
}

// Guards against an operator who is told that a change was refused as stale, while its
// first attempt under the same request ID is still in flight and takes effect later.
func TestStaleRefusalIsFinal(t *testing.T) {
	platform := kqfakestore.New()
	now := time.Unix(1, 0)
	log := logrus.New()
	log.SetOutput(io.Discard)
	submit := func(s kqcommit.Store, id string, base kqname.ConfigVersion, team kqname.Team) *kqproblem.Problem {
		c := kqchange.New(kqcommit.New(s, kqcommit.WithBackoff(0)), kqaudit.New(logrus.NewEntry(log)), noCounter{})
		_, p := c.Submit(t.Context(), kqchange.Request{
			Operator: kqoperator.Operator{Name: "ana", Role: kqoperator.Admin}, ID: id, Base: &base,
			Edit: kqchange.Edit{Apply: func(d kqdocument.Document) (kqdocument.Document, error) {
				d.Teams = append(d.Teams, kqdocument.Team{Name: team})
				return d, nil
			}},
		}, now)
		return p
	}
	if p := submit(platform, "first", 0, "shop"); p != nil {
		t.Fatal(p)
	}
	delayed := &delayedSwapStore{Fake: platform}
	if p := submit(delayed, "mine", 1, "lab"); p == nil || p.Code != kqproblem.OutcomeUnknown {
		t.Fatalf("first attempt: %+v, want an unknown outcome", p)
	}
	if p := submit(platform, "mine", 0, "lab"); p == nil || p.Code != kqproblem.StaleVersion {
		t.Errorf("second attempt: %+v, want a stale version", p)
	}
	delayed.deliver()
	if d, _, err := kqcommit.New(platform).Document(t.Context()); err != nil || len(d.Teams) != 1 {
		t.Errorf("teams %+v, %v, want the first one only", d.Teams, err)
	}
}
