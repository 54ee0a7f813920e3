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
	maxHistory     = 100
	requestTimeout = 2 * time.Second
)

type (
	// Node provides the state that one node knows.
	Node interface {
		Ready() bool
		Version() kqname.ConfigVersion
		Members() []kqmember.Member
		Reporter
		Quarantiner
	}

	// Committer is the subset of kqcommit.Committer that views read.
	Committer interface {
		Root(ctx context.Context) (kqresource.Root, kqstore.Revision, error)
		History(ctx context.Context, limit int) ([]kqcommit.HistoryRecord, error)
	}

	// Upstream is one upstream that is local to a node.
	Upstream struct {
		Service        kqname.Service         `json:"service"`
		Version        kqname.UpstreamVersion `json:"version"`
		Slots          int                    `json:"slots"`
		Draining       bool                   `json:"draining"`
		FirstAnnounced time.Time              `json:"started"`
		// WarmFrom is the announced end of the cold start, FirstAnnounced if none was
		// announced, or zero if the upstream announced no instance.
		WarmFrom time.Time `json:"warm,omitzero"`
		// Limited reports whether the upstream names a limit, and Limit is that of the last
		// few seconds, in calls a second.
		Limited bool    `json:"limited,omitempty"`
		Limit   float64 `json:"limit,omitempty"`
		// Start identifies this start of the upstream among all at its node.
		Start uint64 `json:"-"`
	}

	// Member is one node of the fleet.
	Member struct {
		Node    kqname.Node          `json:"node"`
		Domain  kqname.Domain        `json:"domain"`
		Region  kqname.Region        `json:"region"`
		State   string               `json:"state"`
		Control kqname.Address       `json:"control"`
		Version kqname.ConfigVersion `json:"version"`
		// Behind is how many versions the node is behind the fleet's newest.
		Behind    kqname.ConfigVersion `json:"behind"`
		Upstreams []Upstream           `json:"upstreams"`
	}

	// Fleet lists every node known to one node. Version is the newest version that any of
	// them has applied.
	Fleet struct {
		Version kqname.ConfigVersion `json:"version"`
		Ready   bool                 `json:"ready"`
		Members []Member             `json:"members"`
	}

	// Convergence reports how many nodes have applied the version in force: Have counts
	// those that have, and Behind lists the others.
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

	// Version is one committed version in the history.
	Version struct {
		Version   kqname.ConfigVersion `json:"version"`
		RequestID string               `json:"request_id"`
		Author    string               `json:"author"`
		Reason    string               `json:"reason"`
		At        time.Time            `json:"at"`
		// Kept reports whether the version's document is still stored.
		Kept bool `json:"kept"`
	}

	// Platform is the result of one request to the platform's key-value service.
	Platform struct {
		Reachable bool                 `json:"reachable"`
		TookMS    float64              `json:"took_ms"`
		Version   kqname.ConfigVersion `json:"version"`
		Error     string               `json:"error,omitempty"`
	}

	// View provides the views of one node.
	View struct {
		node      Node
		committer Committer
	}
)

// New returns a view of the fleet as node and committer know it.
func New(node Node, committer Committer) *View { return &View{node: node, committer: committer} }

// Ready reports whether the node is ready for calls.
func (v *View) Ready() bool { return v.node.Ready() }

// Fleet returns every node that this one knows. Versions come from the heartbeats of
// overlay neighbours and, for other nodes, mostly from comparisons of member tables with
// peers. They are usually a few heartbeats old, but older for suspect and dead nodes and
// while comparisons wait for the send budget.
func (v *View) Fleet() Fleet {
	f := Fleet{Version: v.node.Version(), Ready: v.node.Ready(), Members: []Member{}}
	members := v.node.Members()
	for _, m := range members {
		f.Version = max(f.Version, m.AppliedVersion)
	}
	for _, m := range members {
		member := Member{
			Node: m.Node, Domain: m.Domain, Region: m.Region, State: m.State.String(), Control: m.Control,
			Version: m.AppliedVersion, Behind: f.Version - m.AppliedVersion, Upstreams: []Upstream{},
		}
		for _, u := range m.Upstreams {
			member.Upstreams = append(member.Upstreams, Upstream(u))
		}
		f.Members = append(f.Members, member)
	}
	return f
}

// Convergence returns how many nodes have the version in force. Nodes considered
// dead are not counted: one that restarts gets a version before it serves calls. One
// that is only partitioned may still serve calls by an older version.
func (v *View) Convergence(ctx context.Context, now time.Time) (Convergence, error) {
	root, _, err := v.committer.Root(ctx)
	if err != nil {
		return Convergence{}, fmt.Errorf("read convergence: %w", err)
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
		if m.AppliedVersion >= root.Version {
			c.Have++
			continue
		}
		c.Behind = append(c.Behind, m.Node)
	}
	c.Complete = c.Have == c.Nodes
	return c, nil
}

// History returns up to limit of the latest versions, newest first. A limit out
// of range means maxHistory.
func (v *View) History(ctx context.Context, limit int) ([]Version, error) {
	if limit < 1 || limit > maxHistory {
		limit = maxHistory
	}
	past, err := v.committer.History(ctx, limit)
	// Return the versions that were read even if older history is broken or gone.
	if err != nil && (len(past) == 0 || !errors.Is(err, kqcommit.ErrHistoryMismatch) && !errors.Is(err, kqstore.ErrNotFound)) {
		return nil, fmt.Errorf("read history: %w", err)
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

// Platform sends one request to the platform's service. TookMS counts from began,
// when the operator's request arrived; since returns the time elapsed since a time.
func (v *View) Platform(ctx context.Context, began time.Time, since func(time.Time) time.Duration) Platform {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	root, _, err := v.committer.Root(ctx)
	p := Platform{Reachable: err == nil, Version: root.Version, TookMS: float64(since(began).Microseconds()) / 1000}
	if err != nil {
		p.Error = err.Error()
	}
	return p
}
