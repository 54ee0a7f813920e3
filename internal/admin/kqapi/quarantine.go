package kqapi

import (
	"github.com/kumquatgw/kumquatgw/internal/admin/kqaudit"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqview"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
)

type (
	// SuspectRequests is the response with the requests under which upstreams ended.
	SuspectRequests struct {
		Requests []kqview.SuspectRequest `json:"requests"`
	}

	// ClearedRequest is the response to a request that is sent again.
	ClearedRequest struct {
		Request kqfingerprint.Fingerprint `json:"request"`
		// WasSuspected reports whether the node that answers had suspected it.
		WasSuspected bool `json:"was_suspected"`
	}
)

func (a *API) suspectRequests(request) (any, *kqproblem.Problem) {
	return SuspectRequests{Requests: a.parts.View.SuspectRequests()}, nil
}

func (a *API) clearSuspectRequest(q request) (any, *kqproblem.Problem) {
	found, err := kqfingerprint.Parse(q.Params("name"))
	if err != nil {
		return nil, kqproblem.New(kqproblem.Malformed, err.Error())
	}
	was, problem := ClearSuspectRequest(a.parts, q.operator, q.IP(), "api", found)
	return ClearedRequest{Request: found, WasSuspected: was}, problem
}

// ClearSuspectRequest makes all nodes send a request again, if the operator is an admin, and records it
// in the audit log. It reports whether this node had suspected the request.
func ClearSuspectRequest(p Parts, o kqoperator.Operator, source, way string, r kqfingerprint.Fingerprint) (bool, *kqproblem.Problem) {
	record := kqaudit.Record{At: p.Now(), Operator: o.Name, Team: o.Team, Source: source, Way: way, What: "clearance of request " + r.String()}
	if o.Role != kqoperator.Admin {
		record.Refused = kqproblem.Forbidden
		p.Audit.Add(record)
		return false, kqproblem.New(kqproblem.Forbidden, "only admins clear requests under which upstreams ended")
	}
	p.Audit.Add(record)
	return p.View.ClearSuspectRequest(r), nil
}
