package kqnode_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	rateOfTest  = 60
	burstOfTest = 30
)

// startRatedFleet starts nodes with an upstream each, and a workspace with a rate and the key
// "secret".
func startRatedFleet(t *testing.T, nodes int) (*kqfleet.Fleet, []*kqfleet.Server) {
	t.Helper()
	f := kqfleet.New(kqfleet.WithSettings(func(n *kqsettings.Settings) {
		n.Member.Heartbeat, n.Config.ExpectedNodes = 50*time.Millisecond, nodes
	}))
	t.Cleanup(func() { _ = f.Close() })
	var servers []*kqfleet.Server
	for i := range nodes {
		s, err := f.Start(kqfleet.Spec{
			Node: kqname.Node(fmt.Sprintf("node-%d", i)), Domain: "one", Region: "one", Service: "store", Version: "v1", Slots: 8,
			Behaviour: kqupstream.Behaviour{Work: time.Millisecond},
		})
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, s)
	}
	digest := sha256.Sum256([]byte("secret"))
	o, err := kqcommit.New(f.Platform).Commit(t.Context(), kqcommit.Request{ID: "first", Author: "test", Reason: "test", At: time.Now(), Document: kqdocument.Document{
		Teams:      []kqdocument.Team{{Name: "shop"}},
		Services:   []kqdocument.Service{{Name: "store", Team: "shop"}},
		Routes:     []kqdocument.Route{{Name: "store", Team: "shop", Host: "store", PathPrefix: "/", Service: "store"}},
		Workspaces: []kqdocument.Workspace{{Name: "tenant", KeyDigests: []string{hex.EncodeToString(digest[:])}, RatePerS: rateOfTest, Burst: burstOfTest}},
	}})
	if err != nil || o.Status != kqcommit.Committed {
		t.Fatalf("commit: %v %v", o, err)
	}
	await(t, "all nodes have the version and know each other", func() bool {
		return !slices.ContainsFunc(servers, func(s *kqfleet.Server) bool {
			return s.Node.Version() == 0 || len(s.Node.Members()) < nodes
		})
	})
	return f, servers
}

// callWithKey makes a call with the workspace's key.
func callWithKey(ctx context.Context, to kqname.Address) (status int, retryAfter string) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(to)+"/", nil)
	if err != nil {
		return 0, ""
	}
	q.Host = "store"
	q.Header.Set("Authorization", "Bearer secret")
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, ""
	}
	_ = a.Body.Close()
	return a.StatusCode, a.Header.Get("Retry-After")
}

// isCoordinator reports whether a node has found, as a coordinator, that a workspace is limited.
func isCoordinator(t *testing.T, s *kqfleet.Server) bool {
	families, err := s.Node.Metrics().Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "kumquatgw_limited_workspaces" && m.GetLabel()[0].GetValue() == "coordinator" && m.GetGauge().GetValue() > 0 {
				return true
			}
		}
	}
	return false
}

// Guards against a rate that real nodes exceed or do not use, also while the workspace's
// coordinator is killed: calls at three times the rate come to all nodes.
func TestFleetKeepsARate(t *testing.T) {
	_, servers := startRatedFleet(t, 5)
	var mu sync.Mutex
	var answered, decided []time.Time
	statuses, withoutAdvice := make(map[int]int), 0
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	for _, s := range servers {
		group.Go(func() {
			for ctx.Err() == nil {
				group.Go(func() {
					status, retryAfter := callWithKey(ctx, s.Node.EntryAddress())
					mu.Lock()
					defer mu.Unlock()
					statuses[status]++
					if status == http.StatusOK || status == http.StatusTooManyRequests {
						decided = append(decided, time.Now())
					}
					if status == http.StatusOK {
						answered = append(answered, time.Now())
					}
					if seconds, err := strconv.Atoi(retryAfter); status == http.StatusTooManyRequests && (err != nil || seconds < 1) {
						withoutAdvice++
					}
				})
				time.Sleep(time.Second * 5 / (3 * rateOfTest))
			}
		})
	}
	time.Sleep(7 * time.Second)
	i := slices.IndexFunc(servers, func(s *kqfleet.Server) bool { return isCoordinator(t, s) })
	if i < 0 {
		t.Error("no node knows as a coordinator that the workspace is limited")
		i = 0
	}
	await(t, "another node shows the workspace's use", func() bool {
		use := servers[(i+1)%5].Node.WorkspaceUse()
		return len(use) == 1 && use[0].Arrived > rateOfTest && use[0].Share < 1 && use[0].Refused > 0
	})
	servers[i].Kill()
	killed := time.Now()
	time.Sleep(8 * time.Second)
	cancel()
	group.Wait()
	slices.SortFunc(answered, time.Time.Compare)
	afterKill := func(at time.Time) bool {
		since := at.Sub(killed)
		return since > 3*time.Second && since < 8*time.Second
	}
	most, first, late, asked := 0, 0, 0, 0
	for _, at := range decided {
		if afterKill(at) {
			asked++
		}
	}
	for j, at := range answered {
		for at.Sub(answered[first]) > 5*time.Second {
			first++
		}
		most = max(most, j-first+1)
		if afterKill(at) {
			late++
		}
	}
	t.Logf("statuses %v, at most %d calls in 5 s, %d of %d in the 5 s from 3 s after the kill", statuses, most, late, asked)
	if allowed := (rateOfTest*5+burstOfTest)*11/10 + 20; most > allowed {
		t.Errorf("%d calls in a window of 5 s, allowed %d", most, allowed)
	}
	// A dead node's portion stays reserved, since it may be behind a partition. On a machine that
	// is too busy to make more calls than the rate allows, not all of it can be used.
	if want := rateOfTest * 5 * 72 / 100; late < want && asked > rateOfTest*5*3/2 {
		t.Errorf("%d calls in 5 s after the coordinator was killed, want %d", late, want)
	}
	if statuses[http.StatusTooManyRequests] == 0 || withoutAdvice > 0 {
		t.Errorf("%d calls refused, %d of them without Retry-After", statuses[http.StatusTooManyRequests], withoutAdvice)
	}
}
