package kqchange

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// owned is what a change's item tells of who it belongs to.
type owned struct {
	Team    kqname.Team    `json:"team"`
	Host    kqname.Host    `json:"host"`
	Service kqname.Service `json:"service"`
}

// permit tells what of a change the operator may not make. It looks at what
// differs, so a whole document, a form and one item are judged alike.
func permit(o kqoperator.Operator, next kqdocument.Document, changes []kqdocument.Change) *kqproblem.Problem {
	if o.Role == kqoperator.Admin {
		return nil
	}
	var fields []kqproblem.Field
	for _, c := range changes {
		if detail := forbidden(o, next, c); detail != "" {
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

// forbidden tells why a member may not make a change, "" if he may.
func forbidden(o kqoperator.Operator, next kqdocument.Document, c kqdocument.Change) string {
	kind, _, _ := strings.Cut(c.Item, ".")
	if kind == "teams" || kind == "policies" {
		return "only admins change " + kind
	}
	for _, side := range []json.RawMessage{c.Before, c.After} {
		if side == nil {
			continue
		}
		var item owned
		if err := json.Unmarshal(side, &item); err != nil {
			return "cannot be read"
		}
		if item.Team != o.Team {
			return fmt.Sprintf("belongs to team %q", item.Team)
		}
	}
	var after owned
	if c.After == nil || json.Unmarshal(c.After, &after) != nil {
		return ""
	}
	switch kind {
	case "routes":
		return hostTaken(o, next, after.Host)
	case "rollouts":
		return serviceTaken(o, next, after.Service)
	default:
		return ""
	}
}

// hostTaken keeps a team from putting a longer path onto another team's host:
// it would draw that team's calls to itself, and only their callers would see.
func hostTaken(o kqoperator.Operator, next kqdocument.Document, host kqname.Host) string {
	for _, r := range next.Routes {
		if r.Host == host && r.Team != o.Team {
			return fmt.Sprintf("host %q carries routes of team %q", host, r.Team)
		}
	}
	return ""
}

// serviceTaken keeps a team from moving another team's service.
func serviceTaken(o kqoperator.Operator, next kqdocument.Document, service kqname.Service) string {
	for _, s := range next.Services {
		if s.Name == service && s.Team != o.Team {
			return fmt.Sprintf("service %q belongs to team %q", service, s.Team)
		}
	}
	return ""
}
