package kqadmin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqadmin"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqview"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// server is an admin server under test with its platform and its operators'
	// tokens by name.
	server struct {
		t        *testing.T
		platform *kqfakestore.Fake
		url      string
		address  string
		tokens   map[string]string
		log      *bytes.Buffer
		counter  *counter
		cleared  []kqfingerprint.Fingerprint
	}

	// counter counts refusals by reason.
	counter struct {
		mu      sync.Mutex
		refused map[string]int
	}

	// fakeNode is a ready node with fixed members, rollouts and reports.
	fakeNode struct {
		platform *kqfakestore.Fake
		cleared  *[]kqfingerprint.Fingerprint
	}
)

func (c *counter) AdminRefused(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[reason]++
}

func (c *counter) refusedCount(reason kqproblem.Code) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused[string(reason)]
}

func (c *counter) AdminCommitted(string) {}

func (n fakeNode) Suspects() []kqquarantine.Suspect {
	return []kqquarantine.Suspect{{
		Request: kqfingerprint.Fingerprint{1, 2}, Origin: kqquarantine.Origin{Service: "store", Route: "catalogue"}, Refused: true,
		Ends: []kqquarantine.End{{Upstream: kqquarantine.Start{Node: "node-a"}, Certainty: kqquarantine.Confirmed, Known: time.Unix(1, 0)}},
	}}
}

func (n fakeNode) ClearSuspect(r kqfingerprint.Fingerprint) bool {
	*n.cleared = append(*n.cleared, r)
	return true
}

func (n fakeNode) Ready() bool                   { return true }
func (n fakeNode) Version() kqname.ConfigVersion { return 1 }
func (n fakeNode) Report(_ context.Context, node kqname.Node) (kqview.Report, error) {
	if node != "one" {
		return kqview.Report{}, kqstore.ErrNotFound
	}
	return kqview.Report{Node: node, Version: 1, Counts: []kqview.Count{{Name: "config_refused", Reason: "invalid", Value: 3}}}, nil
}

func (n fakeNode) Rollouts() []kqtracker.Status {
	return []kqtracker.Status{{Rollout: "spring", Service: "store", State: kqtracker.FinalRollback, Why: "5 of 40 calls failed"}}
}

func (n fakeNode) Members() []kqmember.Member {
	return []kqmember.Member{{Node: "one", Domain: "a", AppliedVersion: 1}, {Node: "two", Domain: "b", AppliedVersion: 0}}
}

// initialDocument returns the document that every test starts with as version 1.
func initialDocument() kqdocument.Document {
	return kqdocument.Document{
		Teams:    []kqdocument.Team{{Name: "shop", MaxRoutes: 3}, {Name: "press"}},
		Policies: []kqdocument.Policy{{Name: "careful", Prefer: kqdocument.PreferTakingBack}},
		Services: []kqdocument.Service{{Name: "store", Team: "shop", Version: "v1"}, {Name: "gallery", Team: "press", Version: "v1"}},
		Routes: []kqdocument.Route{
			{Name: "store", Team: "shop", Host: "store", PathPrefix: "/", Service: "store"},
			{Name: "gallery", Team: "press", Host: "gallery", PathPrefix: "/", Service: "gallery"},
		},
		Evacuations: []kqdocument.Evacuation{{Name: "north"}},
		Workspaces:  []kqdocument.Workspace{{Name: "acme", KeyDigests: []string{strings.Repeat("0a", 32), strings.Repeat("0b", 32)}}},
	}
}

// newTestServer starts an admin server on a loopback port until the test ends.
func newTestServer(t *testing.T, options ...kqadmin.Option) *server {
	t.Helper()
	s := &server{
		t: t, platform: kqfakestore.New(), tokens: make(map[string]string),
		log: &bytes.Buffer{}, counter: &counter{refused: make(map[string]int)},
	}
	o, err := kqcommit.New(s.platform).Commit(t.Context(), kqcommit.Request{ID: "first", Author: "test", Reason: "test", At: time.Now(), Document: initialDocument()})
	if err != nil || o.Version != 1 {
		t.Fatalf("commit: %v %v", o, err)
	}
	operators := kqoperator.New(s.issueTokens())
	if err := operators.Load(); err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(s.log)
	admin, err := kqadmin.New(kqadmin.Parts{
		Node: fakeNode{s.platform, &s.cleared}, Store: s.platform, Operators: operators,
		Registry: prometheus.NewRegistry(), Counter: s.counter, Log: logrus.NewEntry(logger),
	}, options...)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address, s.url = l.Addr().String(), "http://"+l.Addr().String()
	var group conc.WaitGroup
	group.Go(func() { _ = admin.Serve(l, nil) })
	t.Cleanup(func() {
		_ = admin.Shutdown(context.Background())
		group.Wait()
	})
	return s
}

// issueTokens writes a token file for an admin and two members of different
// teams and returns its name.
func (s *server) issueTokens() string {
	s.t.Helper()
	var file bytes.Buffer
	file.WriteString("# operators\n\n")
	for _, o := range []kqoperator.Operator{
		{Name: "ana", Role: kqoperator.Admin},
		{Name: "mika", Role: kqoperator.Member, Team: "shop"},
		{Name: "fatou", Role: kqoperator.Member, Team: "press"},
	} {
		token, line, err := kqoperator.NewToken(o)
		if err != nil {
			s.t.Fatal(err)
		}
		s.tokens[o.Name] = token
		file.WriteString(line + "\n")
	}
	name := filepath.Join(s.t.TempDir(), "tokens")
	if err := os.WriteFile(name, file.Bytes(), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return name
}

// request sends a request and returns the status and the decoded JSON body.
// operatorOrToken is the name of an operator, whose token is sent, or else the token
// itself; "" sends none.
func (s *server) request(operatorOrToken, method, path, body string) (int, map[string]any) {
	s.t.Helper()
	q, err := http.NewRequestWithContext(s.t.Context(), method, s.url+path, bytes.NewBufferString(body))
	if err != nil {
		s.t.Fatal(err)
	}
	if token, ok := s.tokens[operatorOrToken]; ok {
		q.Header.Set("Authorization", "Bearer "+token)
	} else if operatorOrToken != "" {
		q.Header.Set("Authorization", "Bearer "+operatorOrToken)
	}
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		s.t.Fatalf("%s %s: %v", method, path, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	answer := map[string]any{}
	_ = json.Unmarshal(data, &answer)
	return response.StatusCode, answer
}

func (s *server) version() kqname.ConfigVersion {
	s.t.Helper()
	root, _, err := kqcommit.New(s.platform).Root(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	return root.Version
}
