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
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqadmin"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqview"
	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// desk is an admin server, its platform and its operators' tokens.
	desk struct {
		t        *testing.T
		platform *kqstandin.Standin
		url      string
		address  string
		tokens   map[string]string
		log      *bytes.Buffer
		counts   *counts
	}

	counts struct {
		mu      sync.Mutex
		refused map[string]int
	}

	fakeNode struct{ platform *kqstandin.Standin }
)

func (c *counts) AdminRefused(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[reason]++
}

func (c *counts) of(reason kqproblem.Code) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused[string(reason)]
}

func (c *counts) AdminDone(string) {}

func (n fakeNode) Ready() bool                   { return true }
func (n fakeNode) Version() kqname.ConfigVersion { return 1 }
func (n fakeNode) Report(_ context.Context, node kqname.Node) (kqview.Report, error) {
	if node != "one" {
		return kqview.Report{}, kqstore.ErrNotFound
	}
	return kqview.Report{Node: node, Version: 1, Counts: []kqview.Count{{Name: "config_refused", Reason: "invalid", Value: 3}}}, nil
}

func (n fakeNode) Rollouts() []kqboard.Status {
	return []kqboard.Status{{Rollout: "spring", Service: "store", State: kqboard.TakenBack, Why: "5 of 40 calls failed"}}
}

func (n fakeNode) Members() []kqmember.Member {
	return []kqmember.Member{{Node: "one", Domain: "a", Config: 1}, {Node: "two", Domain: "b", Config: 0}}
}

// first is the document that every test begins with, as version 1.
func first() kqdocument.Document {
	return kqdocument.Document{
		Teams:    []kqdocument.Team{{Name: "shop", MaxRoutes: 3}, {Name: "press"}},
		Policies: []kqdocument.Policy{{Name: "careful", Prefer: kqdocument.PreferTakingBack}},
		Services: []kqdocument.Service{{Name: "store", Team: "shop", Version: "v1"}, {Name: "gallery", Team: "press", Version: "v1"}},
		Routes: []kqdocument.Route{
			{Name: "store", Team: "shop", Host: "store", PathPrefix: "/", Service: "store"},
			{Name: "gallery", Team: "press", Host: "gallery", PathPrefix: "/", Service: "gallery"},
		},
	}
}

func newDesk(t *testing.T, options ...kqadmin.Option) *desk {
	t.Helper()
	d := &desk{
		t: t, platform: kqstandin.New(), tokens: make(map[string]string),
		log: &bytes.Buffer{}, counts: &counts{refused: make(map[string]int)},
	}
	o, err := kqcommit.New(d.platform).Commit(t.Context(), kqcommit.Request{ID: "first", Author: "test", Reason: "test", At: time.Now(), Document: first()})
	if err != nil || o.Version != 1 {
		t.Fatalf("commit: %v %v", o, err)
	}
	operators := kqoperator.New(d.issue())
	if err := operators.Load(); err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(d.log)
	admin, err := kqadmin.New(kqadmin.Parts{
		Node: fakeNode{d.platform}, Store: d.platform, Operators: operators,
		Registry: prometheus.NewRegistry(), Counter: d.counts, Log: logrus.NewEntry(logger),
	}, options...)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.address, d.url = l.Addr().String(), "http://"+l.Addr().String()
	var group conc.WaitGroup
	group.Go(func() { _ = admin.Serve(l, nil) })
	t.Cleanup(func() {
		_ = admin.Shutdown(context.Background())
		group.Wait()
	})
	return d
}

func (d *desk) issue() string {
	d.t.Helper()
	var file bytes.Buffer
	file.WriteString("# operators\n\n")
	for _, o := range []kqoperator.Operator{
		{Name: "ana", Role: kqoperator.Admin},
		{Name: "mika", Role: kqoperator.Member, Team: "shop"},
		{Name: "fatou", Role: kqoperator.Member, Team: "press"},
	} {
		token, line, err := kqoperator.NewToken(o)
		if err != nil {
			d.t.Fatal(err)
		}
		d.tokens[o.Name] = token
		file.WriteString(line + "\n")
	}
	name := filepath.Join(d.t.TempDir(), "tokens")
	if err := os.WriteFile(name, file.Bytes(), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return name
}

// do sends a request and returns the status and the body as JSON.
func (d *desk) do(operator, method, path, body string) (int, map[string]any) {
	d.t.Helper()
	q, err := http.NewRequestWithContext(d.t.Context(), method, d.url+path, bytes.NewBufferString(body))
	if err != nil {
		d.t.Fatal(err)
	}
	if token, ok := d.tokens[operator]; ok {
		q.Header.Set("Authorization", "Bearer "+token)
	} else if operator != "" {
		q.Header.Set("Authorization", "Bearer "+operator)
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		d.t.Fatalf("%s %s: %v", method, path, err)
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	answer := map[string]any{}
	_ = json.Unmarshal(data, &answer)
	return a.StatusCode, answer
}

func (d *desk) version() kqname.ConfigVersion {
	d.t.Helper()
	root, _, err := kqcommit.New(d.platform).Root(d.t.Context())
	if err != nil {
		d.t.Fatal(err)
	}
	return root.Version
}
