package kqapi

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqaudit"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqauth"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqchange"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqview"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Prefix is the path prefix of every operation.
const Prefix = "/v1"

type (
	// Counter counts refused requests by problem code.
	Counter interface {
		AdminRefused(reason string)
	}

	// Parts are the dependencies of the API.
	Parts struct {
		Committer kqchange.Committer
		Changer   *kqchange.Changer
		View      *kqview.View
		Audit     *kqaudit.Audit
		Auth      *kqauth.Auth
		Counter   Counter
		// Rollouts returns the status of the fleet's rollouts.
		Rollouts func() []kqtracker.Status
		Now      func() time.Time
	}

	// API serves the administration operations.
	API struct {
		parts      Parts
		operations []operation
	}

	// request is an authenticated request.
	request struct {
		*fiber.Ctx
		operator kqoperator.Operator
		now      time.Time
	}
)

// New returns an API with the given dependencies.
func New(parts Parts) *API {
	a := &API{parts: parts}
	a.operations = a.buildOperations()
	return a
}

// Register adds the operations and the OpenAPI document to a router.
func (a *API) Register(app fiber.Router) {
	description := a.openAPI()
	app.Get(Prefix+"/openapi.json", func(c *fiber.Ctx) error { return c.JSON(description) })
	for _, o := range a.operations {
		app.Add(o.method, Prefix+o.routePath(), a.serve(o))
	}
	// Unknown paths and unsupported methods under the prefix both get 404.
	app.All(Prefix+"/*", func(c *fiber.Ctx) error {
		return a.Refuse(c, kqproblem.New(kqproblem.NotFound, "no operation has this method and path; see "+Prefix+"/openapi.json"))
	})
}

// Refuse responds with a problem and counts it.
func (a *API) Refuse(c *fiber.Ctx, p *kqproblem.Problem) error {
	a.parts.Counter.AdminRefused(string(p.Code))
	if p.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	if p.Status == fiber.StatusUnauthorized {
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
	}
	if err := c.Status(p.Status).JSON(p); err != nil {
		return fmt.Errorf("send problem response: %w", err)
	}
	c.Set(fiber.HeaderContentType, kqproblem.MediaType)
	return nil
}

func (a *API) serve(o operation) fiber.Handler {
	return func(c *fiber.Ctx) error {
		now := a.parts.Now()
		c.Set(fiber.HeaderCacheControl, "no-store")
		operator, problem := a.parts.Auth.Authenticate(bearerToken(c), c.IP(), now)
		if problem != nil {
			a.auditUnauthenticated(c, o, problem, now)
			return a.Refuse(c, problem)
		}
		response, problem := o.handle(request{Ctx: c, operator: operator, now: now})
		if problem != nil {
			return a.Refuse(c, problem)
		}
		return c.JSON(response)
	}
}

// auditUnauthenticated adds a request that failed authentication to the audit
// log. It skips throttled requests, whose rate would evict all other records and
// fill the log, and reads without a token, which attempt no change.
func (a *API) auditUnauthenticated(c *fiber.Ctx, o operation, p *kqproblem.Problem, now time.Time) {
	if p.Code == kqproblem.TooManyFailures || p.Code == kqproblem.NoToken && o.method == fiber.MethodGet {
		return
	}
	a.parts.Audit.Add(kqaudit.Record{At: now, Source: c.IP(), Way: "api", What: o.method + " " + o.path, Refused: p.Code})
}

func (a *API) submitChange(q request, c Change, edit kqchange.Edit) (any, *kqproblem.Problem) {
	result, problem := a.parts.Changer.Submit(q.UserContext(), kqchange.Request{
		Operator: q.operator, Source: q.IP(), Way: "api",
		ID: c.RequestID, Base: c.Base, Reason: c.Reason, DryRun: q.QueryBool("dry_run"), Edit: edit,
	}, q.now)
	if problem != nil {
		return nil, problem
	}
	return result, nil
}

func (a *API) currentDocument(q request) (kqdocument.Document, kqname.ConfigVersion, *kqproblem.Problem) {
	d, root, err := a.parts.Committer.Document(q.UserContext())
	if err != nil {
		return d, 0, kqproblem.New(kqproblem.PlatformDown, err.Error())
	}
	return d, root.Version, nil
}

// bearerToken returns the token of the Authorization header, or "" without one.
func bearerToken(c *fiber.Ctx) string {
	token, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(token)
}

// decodeBody decodes the JSON body into value.
func (q request) decodeBody(value any) *kqproblem.Problem {
	if err := kqchange.DecodeStrict(q.Body(), value); err != nil {
		return kqproblem.New(kqproblem.Malformed, err.Error())
	}
	return nil
}

// item returns the given kind and the item name from the path.
func (q request) item(kind string) (kqchange.Kind, string, *kqproblem.Problem) {
	name := q.Params("name")
	if !kqname.Valid(name) {
		return nil, "", kqproblem.New(kqproblem.Malformed, "the name in the path is not a plain name")
	}
	return kqchange.Kinds[kind], name, nil
}

func itemProblem(err error) *kqproblem.Problem {
	if errors.Is(err, kqchange.ErrItemNotFound) {
		return kqproblem.New(kqproblem.NotFound, err.Error())
	}
	return kqproblem.New(kqproblem.Internal, err.Error())
}
