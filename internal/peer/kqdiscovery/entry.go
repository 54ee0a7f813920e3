package kqdiscovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// entry is the value of a node's key: what peers need to know of the node before it has told
// them itself. It holds settings only, so that an old entry is as good as a new one. Nodes
// that start together thereby agree at once on their overlay and on who follows the store.
//
// Upstreams is for the node itself, which may restart before they announce themselves again.
type entry struct {
	Control   kqname.Address `json:"control"`
	Domain    kqname.Domain  `json:"domain"`
	Region    kqname.Region  `json:"region"`
	LinkMbits float64        `json:"link_mbits,omitempty"`
	CoreShare float64        `json:"core_share,omitempty"`
	Upstreams []Upstream     `json:"upstreams,omitempty"`
}

// errUnusable means that an entry names no node that can be contacted.
var errUnusable = errors.New("entry is not usable")

// Upstream is an upstream that has announced itself to this node.
type Upstream struct {
	Service   kqname.Service         `json:"service"`
	Version   kqname.UpstreamVersion `json:"version"`
	Address   kqname.Address         `json:"address"`
	Slots     int                    `json:"slots"`
	Instance  kqname.Instance        `json:"instance"`
	StartedMS int64                  `json:"started_ms"`
}

// OwnUpstreams returns the upstreams that an earlier process of the node has left in its
// entry.
func OwnUpstreams(ctx context.Context, initial Initial, self kqname.Node) ([]Upstream, error) {
	l, err := initial.List(ctx, prefix+string(self))
	if err != nil {
		return nil, fmt.Errorf("read own entry: %w", err)
	}
	for _, e := range l.Entries {
		if e.Key != prefix+string(self) {
			continue
		}
		var v entry
		if err := json.Unmarshal(e.Value, &v); err != nil {
			return nil, fmt.Errorf("decode entry %s: %w", e.Key, err)
		}
		return v.Upstreams, nil
	}
	return nil, nil
}

// HasOthers reports whether the store listed other nodes when the process started.
func HasOthers(ctx context.Context, initial Initial, self kqname.Node) (bool, error) {
	l, err := initial.List(ctx, prefix)
	if err != nil {
		return false, fmt.Errorf("list nodes: %w", err)
	}
	return slices.ContainsFunc(l.Entries, func(e kqstore.Entry) bool { return e.Key != prefix+string(self) }), nil
}

func encodeEntry(m kqmember.Member, upstreams []Upstream) ([]byte, error) {
	data, err := json.Marshal(entry{Control: m.Control, Domain: m.Domain, Region: m.Region, LinkMbits: m.LinkMbits, CoreShare: m.CoreShare, Upstreams: upstreams})
	if err != nil {
		return nil, fmt.Errorf("encode entry of node %s: %w", m.Node, err)
	}
	return data, nil
}

// isSameButForStarts reports whether two entries differ at most in the starts of their
// upstreams.
func isSameButForStarts(first, second []byte) bool {
	var a, b entry
	if json.Unmarshal(first, &a) != nil || json.Unmarshal(second, &b) != nil {
		return false
	}
	for _, list := range [][]Upstream{a.Upstreams, b.Upstreams} {
		for i := range list {
			list[i].StartedMS = 0
		}
	}
	return reflect.DeepEqual(a, b)
}

// decodeEntry returns the record of a node at incarnation 0, which every record that comes
// from the node itself supersedes.
func decodeEntry(e kqstore.Entry) (kqmember.Member, error) {
	var v entry
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return kqmember.Member{}, fmt.Errorf("decode entry %.128q: %w", e.Key, err)
	}
	node := kqname.Node(strings.TrimPrefix(e.Key, prefix))
	if !kqname.Usable(node) || v.Domain != "" && !kqname.Usable(v.Domain) || !kqname.UsableAddress(v.Control) || v.LinkMbits < 0 || v.CoreShare < 0 {
		return kqmember.Member{}, fmt.Errorf("entry %.128q with domain %.64q at %.64q: %w", e.Key, string(v.Domain), string(v.Control), errUnusable)
	}
	return kqmember.Member{
		Node: node, Control: v.Control, Domain: v.Domain, Region: v.Region,
		LinkMbits: v.LinkMbits, CoreShare: v.CoreShare,
	}, nil
}
