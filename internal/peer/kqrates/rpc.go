package kqrates

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsleep"
	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodReport = "q.r"
	methodUse    = "q.u"
	// reportTimeout is after how long a report counts as failed. Two of them and the time
	// since the last answer must stay under the time for which an answer is fresh.
	reportTimeout = 400 * time.Millisecond
	useTimeout    = time.Second
)

type (
	// Service connects Rates to peers. It implements Transport.
	Service struct {
		client *kqrpc.Client
		table  *kqmember.Table
		rates  *Rates
		ctx    context.Context
		group  conc.WaitGroup
	}

	useRequest struct{}

	useAnswer struct {
		List []Use `cbor:"1,keyasint,omitempty"`
	}
)

// NewService returns rates that are connected to peers, and registers their methods on server.
// It sets the configuration's transport.
func NewService(server *kqrpc.Server, client *kqrpc.Client, c Config) *Service {
	s := &Service{client: client, table: c.Table, ctx: context.Background()}
	c.Transport = s
	s.rates = New(c, time.Now())
	kqrpc.Handle(server, methodReport, func(_ context.Context, from kqname.Node, q Report) (Answer, error) {
		return s.rates.Answer(from, q, time.Now())
	})
	kqrpc.Handle(server, methodUse, func(context.Context, kqname.Node, useRequest) (useAnswer, error) {
		return useAnswer{s.rates.Coordinated(time.Now())}, nil
	})
	return s
}

// Rates returns the rates.
func (s *Service) Rates() *Rates { return s.rates }

// Run sends reports until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.ctx = ctx
	defer s.group.Wait()
	for ctx.Err() == nil {
		s.rates.Tick(time.Now())
		kqsleep.For(ctx, TickPeriod)
	}
}

// Send implements Transport.
func (s *Service) Send(to kqmember.Member, r Report, done func(Answer, error)) {
	s.group.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
		defer cancel()
		answered := false
		kqsupervisor.From(ctx).RunRecovered("rates", func() {
			a, err := kqrpc.Call[Report, Answer](ctx, s.client, to.Control, methodReport, r)
			answered = true
			done(a, err)
		})
		if !answered {
			done(Answer{}, ErrReport)
		}
	})
}

// Use returns how much of its rate each workspace uses over all nodes, sorted by name. It asks
// the coordinators; workspaces that have had no calls lately, or whose coordinator does not
// answer within a second, are listed without use.
func (s *Service) Use(ctx context.Context) []Use {
	now := time.Now()
	byName := make(map[kqname.Workspace]Use)
	for _, w := range s.rates.index.refresh().byHash {
		byName[w.Name] = Use{Workspace: w.Name, RatePerS: w.RatePerS, Burst: w.Burst, Share: 1}
	}
	if len(byName) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, useTimeout)
	defer cancel()
	coordinators := s.rates.coordinators(now)
	lists := make([][]Use, len(coordinators))
	var group conc.WaitGroup
	for i, m := range coordinators {
		if m.Node == s.table.Self().Node {
			lists[i] = s.rates.Coordinated(now)
			continue
		}
		group.Go(func() {
			if a, err := kqrpc.Call[useRequest, useAnswer](ctx, s.client, m.Control, methodUse, useRequest{}); err == nil {
				lists[i] = a.List
			}
		})
	}
	group.Wait()
	for _, u := range slices.Concat(lists...) {
		if before, ok := byName[u.Workspace]; ok {
			before.Arrived += u.Arrived
			before.Admitted += u.Admitted
			before.Share = min(before.Share, u.Share)
			byName[u.Workspace] = before
		}
	}
	list := make([]Use, 0, len(byName))
	for _, u := range byName {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b Use) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return list
}

// coordinators returns the coordinators of all shards, each once.
func (r *Rates) coordinators(now time.Time) []kqmember.Member {
	count := shardCount(r.fleet.count(now))
	var list []kqmember.Member
	for i := range count {
		m := r.fleet.coordinator(count, i, now)
		if !slices.ContainsFunc(list, func(o kqmember.Member) bool { return o.Node == m.Node }) {
			list = append(list, m)
		}
	}
	return list
}
