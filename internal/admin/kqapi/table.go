package kqapi

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqaudit"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqchange"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqview"
	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Change is what every body of a change holds beside its content.
	Change struct {
		// RequestID names the change; the same id is committed once.
		RequestID string `json:"request_id,omitempty"`
		// Base is the version that was edited.
		Base *kqname.ConfigVersion `json:"base,omitempty"`
		// Reason stands in the history.
		Reason string `json:"reason,omitempty"`
	}

	// DocumentChange is the body of a change of the whole document.
	DocumentChange struct {
		Change
		Document kqdocument.Document `json:"document"`
	}

	// ItemChange is the body of a change of one item.
	ItemChange struct {
		Change
		Item json.RawMessage `json:"item"`
	}

	// Document is the document in force.
	Document struct {
		Version  kqname.ConfigVersion `json:"version"`
		Document kqdocument.Document  `json:"document"`
	}

	// Items are the items of one kind.
	Items struct {
		Version kqname.ConfigVersion `json:"version"`
		Items   any                  `json:"items"`
	}

	// Item is one item.
	Item struct {
		Version kqname.ConfigVersion `json:"version"`
		Item    any                  `json:"item"`
	}

	// Records are the latest changes that were tried.
	Records struct {
		Records []kqaudit.Record `json:"records"`
	}

	// Versions are the latest versions.
	Versions struct {
		Versions []kqview.Version `json:"versions"`
	}

	// RolloutStates are the rollouts with their evidence, as this node has it.
	RolloutStates struct {
		Rollouts []kqboard.Status `json:"rollouts"`
	}

	// operation is one line of the API. Paths have parameters in braces.
	operation struct {
		method, path, id, summary string
		query                     []string
		body, answer              any
		handle                    func(asked) (any, *kqproblem.Problem)
	}
)

var (
	// kindOrder is the order in which the kinds stand in the description.
	kindOrder = []string{"services", "routes", "rollouts", "policies", "teams"}
	singular  = map[string]string{"services": "service", "routes": "route", "rollouts": "rollout", "policies": "policy", "teams": "team"}
)

func (a *API) table() []operation {
	list := []operation{
		{method: "GET", path: "/document", id: "get_document", summary: "The document in force and its version.", answer: Document{}, handle: a.getDocument},
		{
			method: "PUT", path: "/document", id: "put_document", summary: "Replace the whole document; base is required.",
			query: []string{"dry_run"}, body: DocumentChange{}, answer: kqchange.Result{}, handle: a.putDocument,
		},
		{method: "GET", path: "/document/{version}", id: "get_past_document", summary: "The document of one version.", answer: Document{}, handle: a.getPast},
		{method: "GET", path: "/requests/{name}", id: "settle_request", summary: "How the change with this request id ended.", answer: kqcommit.Outcome{}, handle: a.settle},
		{method: "GET", path: "/history", id: "get_history", summary: "The latest versions, who made them and why.", query: []string{"limit"}, answer: Versions{}, handle: a.history},
		{method: "GET", path: "/fleet", id: "get_fleet", summary: "Every node, its state and version.", answer: kqview.Fleet{}, handle: a.fleet},
		{method: "GET", path: "/fleet/{name}", id: "get_node", summary: "What one node tells of itself: its version, since when, and what it refused.", answer: kqview.Report{}, handle: a.report},
		{method: "GET", path: "/convergence", id: "get_convergence", summary: "How many nodes have the version in force.", answer: kqview.Convergence{}, handle: a.convergence},
		{method: "GET", path: "/rollout-states", id: "get_rollout_states", summary: "Where each rollout stands, and on what evidence.", answer: RolloutStates{}, handle: a.rolloutStates},
		{method: "GET", path: "/platform", id: "get_platform", summary: "How the platform's service answers this node.", answer: kqview.Platform{}, handle: a.platform},
		{method: "GET", path: "/audit", id: "get_audit", summary: "The latest changes that this node accepted and refused.", answer: Records{}, handle: a.auditRecords},
	}
	for _, kind := range kindOrder {
		list = append(list, a.itemOperations(kind)...)
	}
	return list
}

func (a *API) itemOperations(kind string) []operation {
	one := singular[kind]
	return []operation{
		{
			method: "GET", path: "/" + kind, id: "list_" + kind, summary: "All " + kind + ".", answer: Items{},
			handle: func(q asked) (any, *kqproblem.Problem) { return a.listItems(q, kind) },
		},
		{
			method: "GET", path: "/" + kind + "/{name}", id: "get_" + one, summary: "One of the " + kind + ".", answer: Item{},
			handle: func(q asked) (any, *kqproblem.Problem) { return a.getItem(q, kind) },
		},
		{
			method: "PUT", path: "/" + kind + "/{name}", id: "put_" + one, summary: "Add or replace one of the " + kind + "; without base, in the version in force.",
			query: []string{"dry_run"}, body: ItemChange{}, answer: kqchange.Result{},
			handle: func(q asked) (any, *kqproblem.Problem) { return a.putItem(q, kind) },
		},
		{
			method: "DELETE", path: "/" + kind + "/{name}", id: "delete_" + one, summary: "Remove one of the " + kind + ".",
			query: []string{"dry_run", "request_id", "base", "reason"}, answer: kqchange.Result{},
			handle: func(q asked) (any, *kqproblem.Problem) { return a.deleteItem(q, kind) },
		},
	}
}

func (a *API) getDocument(q asked) (any, *kqproblem.Problem) {
	d, version, problem := a.document(q)
	return Document{Version: version, Document: d}, problem
}

func (a *API) getPast(q asked) (any, *kqproblem.Problem) {
	version, err := strconv.ParseUint(q.Params("version"), 10, 64)
	if err != nil {
		return nil, kqproblem.New(kqproblem.Malformed, "the version in the path is not a number")
	}
	d, err := a.parts.Committer.DocumentAt(q.UserContext(), kqname.ConfigVersion(version))
	if err != nil {
		return nil, kqproblem.New(kqproblem.NotFound, err.Error())
	}
	return Document{Version: kqname.ConfigVersion(version), Document: d}, nil
}

func (a *API) putDocument(q asked) (any, *kqproblem.Problem) {
	var body DocumentChange
	if p := q.read(&body); p != nil {
		return nil, p
	}
	if body.Base == nil {
		return nil, kqproblem.New(kqproblem.Malformed, "base is required: the version that was edited")
	}
	return a.change(q, body.Change, kqchange.Edit{
		What:  "put of document",
		Apply: func(kqdocument.Document) (kqdocument.Document, error) { return body.Document, nil },
	})
}

func (a *API) settle(q asked) (any, *kqproblem.Problem) {
	name := q.Params("name")
	if !kqname.Valid(name) {
		return nil, kqproblem.New(kqproblem.Malformed, "the request id is not a plain name")
	}
	o, err := a.parts.Committer.Settle(q.UserContext(), name)
	switch {
	case errors.Is(err, kqcommit.ErrNotBegun):
		return nil, kqproblem.New(kqproblem.NotFound, "nobody has begun a change with this request id")
	case err != nil:
		return nil, kqproblem.New(kqproblem.PlatformDown, err.Error())
	default:
		return o, nil
	}
}

func (a *API) history(q asked) (any, *kqproblem.Problem) {
	list, err := a.parts.View.History(q.UserContext(), q.QueryInt("limit"))
	if err != nil {
		return nil, kqproblem.New(kqproblem.PlatformDown, err.Error())
	}
	return Versions{Versions: list}, nil
}

func (a *API) fleet(asked) (any, *kqproblem.Problem) { return a.parts.View.Fleet(), nil }

func (a *API) report(q asked) (any, *kqproblem.Problem) {
	r, err := a.parts.View.Report(q.UserContext(), kqname.Node(q.Params("name")))
	if err != nil {
		return nil, kqproblem.New(kqproblem.NotFound, err.Error())
	}
	return r, nil
}

func (a *API) convergence(q asked) (any, *kqproblem.Problem) {
	c, err := a.parts.View.Convergence(q.UserContext(), q.now)
	if err != nil {
		return nil, kqproblem.New(kqproblem.PlatformDown, err.Error())
	}
	return c, nil
}

func (a *API) rolloutStates(asked) (any, *kqproblem.Problem) {
	return RolloutStates{Rollouts: a.parts.Rollouts()}, nil
}

func (a *API) platform(q asked) (any, *kqproblem.Problem) {
	return a.parts.View.Platform(q.UserContext(), q.now, func(t time.Time) time.Duration { return a.parts.Now().Sub(t) }), nil
}

func (a *API) auditRecords(q asked) (any, *kqproblem.Problem) {
	return Records{Records: a.parts.Audit.Records(q.operator)}, nil
}

func (a *API) listItems(q asked, kind string) (any, *kqproblem.Problem) {
	d, version, problem := a.document(q)
	return Items{Version: version, Items: kqchange.Kinds[kind].List(d)}, problem
}

func (a *API) getItem(q asked, kind string) (any, *kqproblem.Problem) {
	k, name, problem := q.item(kind)
	if problem != nil {
		return nil, problem
	}
	d, version, problem := a.document(q)
	if problem != nil {
		return nil, problem
	}
	item, err := k.Get(d, name)
	if err != nil {
		return nil, notFound(err)
	}
	return Item{Version: version, Item: item}, nil
}

func (a *API) putItem(q asked, kind string) (any, *kqproblem.Problem) {
	k, name, problem := q.item(kind)
	if problem != nil {
		return nil, problem
	}
	var body ItemChange
	if p := q.read(&body); p != nil {
		return nil, p
	}
	return a.change(q, body.Change, kqchange.Put(k, kind, name, body.Item))
}

func (a *API) deleteItem(q asked, kind string) (any, *kqproblem.Problem) {
	k, name, problem := q.item(kind)
	if problem != nil {
		return nil, problem
	}
	c := Change{RequestID: q.Query("request_id"), Reason: q.Query("reason")}
	if text := q.Query("base"); text != "" {
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, kqproblem.New(kqproblem.Malformed, "base is not a number")
		}
		version := kqname.ConfigVersion(base)
		c.Base = &version
	}
	return a.change(q, c, kqchange.Delete(k, kind, name))
}

// served returns the path as the server writes parameters.
func (o operation) served() string {
	return strings.NewReplacer("{", ":", "}", "").Replace(o.path)
}
