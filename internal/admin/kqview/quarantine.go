package kqview

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Quarantiner provides the requests under which upstreams ended.
	Quarantiner interface {
		Suspects() []kqquarantine.Suspect
		// ClearSuspect makes all nodes send a request again.
		ClearSuspect(r kqfingerprint.Fingerprint) bool
	}

	// SuspectRequest is a request under which upstreams ended.
	SuspectRequest struct {
		// Request is the fingerprint, which the log lines of its calls name.
		Request kqfingerprint.Fingerprint `json:"request"`
		Service kqname.Service            `json:"service"`
		Route   kqname.Route              `json:"route"`
		// Refused reports whether its calls are refused.
		Refused bool         `json:"refused"`
		Ends    []SuspectEnd `json:"ends"`
	}

	// SuspectEnd is the end of an upstream under a request.
	SuspectEnd struct {
		Node  kqname.Node `json:"node"`
		Known time.Time   `json:"known"`
		// Confirmed reports whether the upstream certainly ended. Others may have: their
		// nodes do not answer.
		Confirmed bool `json:"confirmed"`
	}
)

// SuspectRequests returns the requests under which upstreams ended, the latest end first.
func (v *View) SuspectRequests() []SuspectRequest {
	suspects := v.node.Suspects()
	slices.SortFunc(suspects, func(a, b kqquarantine.Suspect) int {
		return cmp.Or(b.LastEnd.Compare(a.LastEnd), slices.Compare(a.Request[:], b.Request[:]))
	})
	list := make([]SuspectRequest, 0, len(suspects))
	for _, s := range suspects {
		one := SuspectRequest{Request: s.Request, Service: s.Service, Route: s.Route, Refused: s.Refused, Ends: []SuspectEnd{}}
		for _, e := range s.Ends {
			one.Ends = append(one.Ends, SuspectEnd{Node: e.Upstream.Node, Known: e.Known, Confirmed: e.Certainty == kqquarantine.Confirmed})
		}
		list = append(list, one)
	}
	return list
}

// ClearSuspectRequest makes all nodes send a request again, and reports whether this node had
// suspected it.
func (v *View) ClearSuspectRequest(r kqfingerprint.Fingerprint) bool { return v.node.ClearSuspect(r) }
