package kqview

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	historyMost  = 100
	platformWait = 2 * time.Second
)

type (
	// Node is what is seen through one node.
	Node interface {
		Ready() bool
		Version() kqname.ConfigVersion
		Members() []kqmember.Member
		Reporter
	}

	// Committer is the part of kqcommit that is seen.
	Committer interface {
		Root(ctx context.Context) (kqresource.Root, kqstore.Revision, error)
		History(ctx context.Context, most int) ([]kqcommit.Past, error)
	}

	// Upstream is one back end beside a node.
	Upstream struct {
		Service  kqname.Service         `json:"service"`
		Version  kqname.UpstreamVersion `json:"version"`
		Slots    int                    `json:"slots"`
		Draining bool                   `json:"draining"`
		Started  time.Time              `json:"started"`
		Warm     time.Time              `json:"warm,omitzero"`
	}

	// Member is one node of the fleet.
	Member struct {
		Node      kqname.Node          `json:"node"`
		Domain    kqname.Domain        `json:"domain"`
		Region    kqname.Region        `json:"region"`
		State     string               `json:"state"`
		Control   kqname.Address       `json:"control"`
		Version   kqname.ConfigVersion `json:"version"`
		Behind    kqname.ConfigVersion `json:"behind"`
		Upstreams []Upstream           `json:"upstreams"`
	}

	// Fleet is every node, as one node knows them.
	Fleet struct {
		Version kqname.ConfigVersion `json:"version"`
		Ready   bool                 `json:"ready"`
		Members []Member             `json:"members"`
	}

	// Convergence tells how far the version in force has come.
	Convergence struct {
		Version  kqname.ConfigVersion `json:"version"`
		At       time.Time            `json:"at"`
		Author   string               `json:"author"`
		Reason   string               `json:"reason"`
		AgeMS    int64                `json:"age_ms"`
		Have     int                  `json:"have"`
		Nodes    int                  `json:"nodes"`
		Behind   []kqname.Node        `json:"behind"`
		Complete bool                 `json:"complete"`
	}

	// Version is one change of the history.
	Version struct {
		Version   kqname.ConfigVersion `json:"version"`
		RequestID string               `json:"request_id"`
		Author    string               `json:"author"`
		Reason    string               `json:"reason"`
		At        time.Time            `json:"at"`
		// Kept tells that the version's document can still be shown.
		Kept bool `json:"kept"`
	}

	// Platform tells how the platform's service answers this node.
	Platform struct {
		Reachable bool                 `json:"reachable"`
		TookMS    float64              `json:"took_ms"`
		Version   kqname.ConfigVersion `json:"version"`
		Error     string               `json:"error,omitempty"`
	}

	// View makes the views of one node.
	View struct {
		node      Node
		committer Committer
	}
)

// New returns the view through a node.
func New(node Node, committer Committer) *View { return &View{node: node, committer: committer} }

// Ready reports whether the node serves calls.
func (v *View) Ready() bool { return v.node.Ready() }

// Fleet returns every node that this one knows; versions are those that the
// nodes have told, at most a few heartbeats old.
func (v *View) Fleet() Fleet {
	f := Fleet{Version: v.node.Version(), Ready: v.node.Ready(), Members: []Member{}}
	members := v.node.Members()
	for _, m := range members {
		f.Version = max(f.Version, m.Config)
	}
	for _, m := range members {
		shown := Member{
			Node: m.Node, Domain: m.Domain, Region: m.Region, State: m.State.String(), Control: m.Control,
			Version: m.Config, Behind: f.Version - m.Config, Upstreams: []Upstream{},
		}
		for _, u := range m.Upstreams {
			shown.Upstreams = append(shown.Upstreams, Upstream(u))
		}
		f.Members = append(f.Members, shown)
	}
	return f
}

// Convergence tells how many nodes have the version in force. Nodes held to be
// dead do not count: they take it when they return, before they serve.
func (v *View) Convergence(ctx context.Context, now time.Time) (Convergence, error) {
	root, _, err := v.committer.Root(ctx)
	if err != nil {
		return Convergence{}, fmt.Errorf("view convergence: %w", err)
	}
	c := Convergence{Version: root.Version, At: root.At, Author: root.Author, Reason: root.Reason, Behind: []kqname.Node{}}
	if !root.At.IsZero() {
		c.AgeMS = now.Sub(root.At).Milliseconds()
	}
	for _, m := range v.node.Members() {
		if m.State == kqmember.Dead {
			continue
		}
		c.Nodes++
		if m.Config >= root.Version {
			c.Have++
			continue
		}
		c.Behind = append(c.Behind, m.Node)
	}
	c.Complete = c.Have == c.Nodes
	return c, nil
}

// History returns the latest versions, the newest first.
func (v *View) History(ctx context.Context, most int) ([]Version, error) {
	if most < 1 || most > historyMost {
		most = historyMost
	}
	past, err := v.committer.History(ctx, most)
	// What was kept is shown even where older history cannot be followed.
	if err != nil && (len(past) == 0 || !errors.Is(err, kqcommit.ErrChain) && !errors.Is(err, kqstore.ErrNotFound)) {
		return nil, fmt.Errorf("view history: %w", err)
	}
	list := make([]Version, 0, len(past))
	for _, p := range past {
		list = append(list, Version{
			Version: p.Root.Version, RequestID: p.Root.RequestID, Author: p.Root.Author,
			Reason: p.Root.Reason, At: p.Root.At, Kept: !p.Trimmed,
		})
	}
	return list, nil
}

// Platform asks the platform's service once.
func (v *View) Platform(ctx context.Context, began time.Time, since func(time.Time) time.Duration) Platform {
	ctx, cancel := context.WithTimeout(ctx, platformWait)
	defer cancel()
	root, _, err := v.committer.Root(ctx)
	p := Platform{Reachable: err == nil, Version: root.Version, TookMS: float64(since(began).Microseconds()) / 1000}
	if err != nil {
		p.Error = err.Error()
	}
	return p
}
