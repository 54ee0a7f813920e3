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
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Change holds the fields common to all change requests.
	Change struct {
		// RequestID is the idempotency key: one ID is committed at most once. If
		// empty, a random one is generated.
		RequestID string `json:"request_id,omitempty"`
		// Base is the version that the change is based on. For a change of one item,
		// nil means the version in force.
		Base *kqname.ConfigVersion `json:"base,omitempty"`
		// Reason is recorded in the history.
		Reason string `json:"reason,omitempty"`
	}

	// DocumentChange is the request body that replaces the whole document.
	DocumentChange struct {
		Change
		Document kqdocument.Document `json:"document"`
	}

	// ItemChange is the request body that adds or replaces one item.
	ItemChange struct {
		Change
		Item json.RawMessage `json:"item"`
	}

	// Document is the response with the document of one version.
	Document struct {
		Version  kqname.ConfigVersion `json:"version"`
		Document kqdocument.Document  `json:"document"`
	}

	// Items is the response with all items of one kind.
	Items struct {
		Version kqname.ConfigVersion `json:"version"`
		Items   any                  `json:"items"`
	}

	// Item is the response with one item.
	Item struct {
		Version kqname.ConfigVersion `json:"version"`
		Item    any                  `json:"item"`
	}

	// Records is the response with the latest audit records.
	Records struct {
		Records []kqaudit.Record `json:"records"`
	}

	// Versions is the response with the latest versions.
	Versions struct {
		Versions []kqview.Version `json:"versions"`
	}

	// RolloutStates is the response with the rollouts' status as known to this
	// node.
	RolloutStates struct {
		Rollouts []kqtracker.Status `json:"rollouts"`
	}

	// operation describes and handles one method and path of the API. Path
	// parameters are in braces.
	operation struct {
		method, path, id, summary string
		query                     []string
		body, response            any
		handle                    func(request) (any, *kqproblem.Problem)
	}
)

var (
	// kindOrder is the order of the item kinds in the operation table.
	kindOrder = []string{"services", "routes", "rollouts", "policies", "teams", "evacuations", "workspaces"}
	singular  = map[string]string{"services": "service", "routes": "route", "rollouts": "rollout", "policies": "policy", "teams": "team", "evacuations": "evacuation", "workspaces": "workspace"}
)

func (a *API) buildOperations() []operation {
	list := []operation{
		{method: "GET", path: "/document", id: "get_document", summary: "The document in force and its version.", response: Document{}, handle: a.getDocument},
		{
			method: "PUT", path: "/document", id: "put_document", summary: "Replace the whole document; base is required.",
			query: []string{"dry_run"}, body: DocumentChange{}, response: kqchange.Result{}, handle: a.putDocument,
		},
		{method: "GET", path: "/document/{version}", id: "get_past_document", summary: "The document of one version.", response: Document{}, handle: a.getDocumentAt},
		{method: "GET", path: "/requests/{name}", id: "settle_request", summary: "How the change with this request id ended.", response: kqcommit.Outcome{}, handle: a.requestOutcome},
		{method: "GET", path: "/history", id: "get_history", summary: "The latest versions, who made them and why.", query: []string{"limit"}, response: Versions{}, handle: a.history},
		{method: "GET", path: "/fleet", id: "get_fleet", summary: "Every node, its state and version.", response: kqview.Fleet{}, handle: a.fleet},
		{method: "GET", path: "/fleet/{name}", id: "get_node", summary: "What one node tells of itself: its version, since when, and what it refused.", response: kqview.Report{}, handle: a.report},
		{method: "GET", path: "/convergence", id: "get_convergence", summary: "How many nodes have the version in force.", response: kqview.Convergence{}, handle: a.convergence},
		{method: "GET", path: "/rollout-states", id: "get_rollout_states", summary: "Where each rollout stands, and on what evidence.", response: RolloutStates{}, handle: a.rolloutStates},
		{method: "GET", path: "/suspect-requests", id: "list_suspect_requests", summary: "Requests under which upstreams ended, and whether they are refused.", response: SuspectRequests{}, handle: a.suspectRequests},
		{method: "DELETE", path: "/suspect-requests/{name}", id: "clear_suspect_request", summary: "Make all nodes send a request again under which upstreams ended.", response: ClearedRequest{}, handle: a.clearSuspectRequest},
		{method: "GET", path: "/platform", id: "get_platform", summary: "How the platform's service answers this node.", response: kqview.Platform{}, handle: a.platform},
		{method: "GET", path: "/audit", id: "get_audit", summary: "The latest changes that this node accepted and refused.", response: Records{}, handle: a.auditRecords},
	}
	for _, kind := range kindOrder {
		list = append(list, a.itemOperations(kind)...)
	}
	return list
}

func (a *API) itemOperations(kind string) []operation {
	kindSingular := singular[kind]
	return []operation{
		{
			method: "GET", path: "/" + kind, id: "list_" + kind, summary: "All " + kind + ".", response: Items{},
			handle: func(q request) (any, *kqproblem.Problem) { return a.listItems(q, kind) },
		},
		{
			method: "GET", path: "/" + kind + "/{name}", id: "get_" + kindSingular, summary: "One of the " + kind + ".", response: Item{},
			handle: func(q request) (any, *kqproblem.Problem) { return a.getItem(q, kind) },
		},
		{
			method: "PUT", path: "/" + kind + "/{name}", id: "put_" + kindSingular, summary: "Add or replace one of the " + kind + "; without base, in the version in force.",
			query: []string{"dry_run"}, body: ItemChange{}, response: kqchange.Result{},
			handle: func(q request) (any, *kqproblem.Problem) { return a.putItem(q, kind) },
		},
		{
			method: "DELETE", path: "/" + kind + "/{name}", id: "delete_" + kindSingular, summary: "Remove one of the " + kind + ".",
			query: []string{"dry_run", "request_id", "base", "reason"}, response: kqchange.Result{},
			handle: func(q request) (any, *kqproblem.Problem) { return a.deleteItem(q, kind) },
		},
	}
}

func (a *API) getDocument(q request) (any, *kqproblem.Problem) {
	d, version, problem := a.currentDocument(q)
	return Document{Version: version, Document: d}, problem
}

func (a *API) getDocumentAt(q request) (any, *kqproblem.Problem) {
	version, err := strconv.ParseUint(q.Params("version"), 10, 64)
	if err != nil {
		return nil, kqproblem.New(kqproblem.Malformed, "the version in the path is not a number")
	}
	d, err := a.parts.Committer.DocumentAt(q.UserContext(), kqname.ConfigVersion(version))
	if err != nil {
		// Every error is reported as not found, also an unavailable store.
		return nil, kqproblem.New(kqproblem.NotFound, err.Error())
	}
	return Document{Version: kqname.ConfigVersion(version), Document: d}, nil
}

func (a *API) putDocument(q request) (any, *kqproblem.Problem) {
	var body DocumentChange
	if p := q.decodeBody(&body); p != nil {
		return nil, p
	}
	if body.Base == nil {
		return nil, kqproblem.New(kqproblem.Malformed, "base is required: the version that was edited")
	}
	return a.submitChange(q, body.Change, kqchange.Edit{
		What:  "put of document",
		Apply: func(kqdocument.Document) (kqdocument.Document, error) { return body.Document, nil },
	})
}

// requestOutcome returns the outcome of the change whose request ID is in the path.
// It writes nothing to the store.
func (a *API) requestOutcome(q request) (any, *kqproblem.Problem) {
	name := q.Params("name")
	if !kqname.Valid(name) {
		return nil, kqproblem.New(kqproblem.Malformed, "the request id is not a plain name")
	}
	o, err := a.parts.Committer.ResolveOutcome(q.UserContext(), name)
	switch {
	case errors.Is(err, kqcommit.ErrUnknownRequest):
		return nil, kqproblem.New(kqproblem.NotFound, "nobody has begun a change with this request id")
	case err != nil:
		return nil, kqproblem.New(kqproblem.PlatformDown, err.Error())
	default:
		return o, nil
	}
}

func (a *API) history(q request) (any, *kqproblem.Problem) {
	list, err := a.parts.View.History(q.UserContext(), q.QueryInt("limit"))
	if err != nil {
		return nil, kqproblem.New(kqproblem.PlatformDown, err.Error())
	}
	return Versions{Versions: list}, nil
}

func (a *API) fleet(request) (any, *kqproblem.Problem) { return a.parts.View.Fleet(), nil }

func (a *API) report(q request) (any, *kqproblem.Problem) {
	r, err := a.parts.View.Report(q.UserContext(), kqname.Node(q.Params("name")))
	if err != nil {
		// Every error is reported as not found, also a known node's timeout.
		return nil, kqproblem.New(kqproblem.NotFound, err.Error())
	}
	return r, nil
}

func (a *API) convergence(q request) (any, *kqproblem.Problem) {
	c, err := a.parts.View.Convergence(q.UserContext(), q.now)
	if err != nil {
		return nil, kqproblem.New(kqproblem.PlatformDown, err.Error())
	}
	return c, nil
}

func (a *API) rolloutStates(request) (any, *kqproblem.Problem) {
	return RolloutStates{Rollouts: a.parts.Rollouts()}, nil
}

func (a *API) platform(q request) (any, *kqproblem.Problem) {
	return a.parts.View.Platform(q.UserContext(), q.now, func(t time.Time) time.Duration { return a.parts.Now().Sub(t) }), nil
}

func (a *API) auditRecords(q request) (any, *kqproblem.Problem) {
	return Records{Records: a.parts.Audit.Records(q.operator)}, nil
}

func (a *API) listItems(q request, kind string) (any, *kqproblem.Problem) {
	d, version, problem := a.currentDocument(q)
	return Items{Version: version, Items: kqchange.Kinds[kind].List(d)}, problem
}

func (a *API) getItem(q request, kind string) (any, *kqproblem.Problem) {
	k, name, problem := q.item(kind)
	if problem != nil {
		return nil, problem
	}
	d, version, problem := a.currentDocument(q)
	if problem != nil {
		return nil, problem
	}
	item, err := k.Get(d, name)
	if err != nil {
		return nil, itemProblem(err)
	}
	return Item{Version: version, Item: item}, nil
}

func (a *API) putItem(q request, kind string) (any, *kqproblem.Problem) {
	k, name, problem := q.item(kind)
	if problem != nil {
		return nil, problem
	}
	var body ItemChange
	if p := q.decodeBody(&body); p != nil {
		return nil, p
	}
	return a.submitChange(q, body.Change, kqchange.Put(k, kind, name, body.Item))
}

func (a *API) deleteItem(q request, kind string) (any, *kqproblem.Problem) {
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
	return a.submitChange(q, c, kqchange.Delete(k, kind, name))
}

// routePath returns the path in fiber's syntax, with ":name" for "{name}".
func (o operation) routePath() string {
	return strings.NewReplacer("{", ":", "}", "").Replace(o.path)
}
