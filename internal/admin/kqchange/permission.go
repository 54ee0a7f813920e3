package kqchange

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// adminKinds are the kinds of items that belong to no team.
var adminKinds = []string{"teams", "policies", "evacuations", "workspaces"}

// ownership holds the fields of a changed item that decide which team may
// change it.
type ownership struct {
	Team    kqname.Team    `json:"team"`
	Host    kqname.Host    `json:"host"`
	Service kqname.Service `json:"service"`
}

// checkPermission returns a problem that lists the changes the operator may not
// make, or nil. It checks the difference between documents, so the same rules
// apply to a whole document, a form and a single item.
func checkPermission(o kqoperator.Operator, next kqdocument.Document, changes []kqdocument.Change) *kqproblem.Problem {
	if o.Role == kqoperator.Admin {
		return nil
	}
	var fields []kqproblem.Field
	for _, c := range changes {
		if detail := denialReason(o, next, c); detail != "" {
			fields = append(fields, kqproblem.Field{Pointer: "/" + strings.Replace(c.Item, ".", "/", 1), Detail: detail})
		}
	}
	if len(fields) == 0 {
		return nil
	}
	p := kqproblem.New(kqproblem.Forbidden, fmt.Sprintf("%s of team %s: %s: %s", o.Name, o.Team, strings.TrimPrefix(fields[0].Pointer, "/"), fields[0].Detail))
	p.Errors = fields
	return p
}

// denialReason returns why a member may not make a change, or "" if allowed.
func denialReason(o kqoperator.Operator, next kqdocument.Document, c kqdocument.Change) string {
	kind, _, _ := strings.Cut(c.Item, ".")
	if slices.Contains(adminKinds, kind) {
		return "only admins change " + kind
	}
	for _, raw := range []json.RawMessage{c.Before, c.After} {
		if raw == nil {
			continue
		}
		var item ownership
		if err := json.Unmarshal(raw, &item); err != nil {
			return "cannot be read"
		}
		if item.Team != o.Team {
			return fmt.Sprintf("belongs to team %q", item.Team)
		}
	}
	var after ownership
	if c.After == nil || json.Unmarshal(c.After, &after) != nil {
		return ""
	}
	switch kind {
	case "routes":
		return hostDenialReason(o, next, after.Host)
	case "rollouts":
		return serviceDenialReason(o, next, after.Service)
	default:
		return ""
	}
}

// hostDenialReason denies routes on a host that has routes of another team: a
// longer path prefix would take over that team's calls, and only its callers
// would notice.
func hostDenialReason(o kqoperator.Operator, next kqdocument.Document, host kqname.Host) string {
	for _, r := range next.Routes {
		if r.Host == host && r.Team != o.Team {
			return fmt.Sprintf("host %q carries routes of team %q", host, r.Team)
		}
	}
	return ""
}

// serviceDenialReason denies rollouts of another team's service.
func serviceDenialReason(o kqoperator.Operator, next kqdocument.Document, service kqname.Service) string {
	for _, s := range next.Services {
		if s.Name == service && s.Team != o.Team {
			return fmt.Sprintf("service %q belongs to team %q", service, s.Team)
		}
	}
	return ""
}
