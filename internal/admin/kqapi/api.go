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
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Prefix begins the path of every operation.
const Prefix = "/v1"

type (
	// Counter counts refusals by their code.
	Counter interface {
		AdminRefused(reason string)
	}

	// Parts are what the API drives.
	Parts struct {
		Committer kqchange.Committer
		Changer   *kqchange.Changer
		View      *kqview.View
		Audit     *kqaudit.Audit
		Auth      *kqauth.Auth
		Counter   Counter
		// Rollouts returns the fleet's rollouts with their evidence.
		Rollouts func() []kqboard.Status
		Now      func() time.Time
	}

	// API serves the operations.
	API struct {
		parts      Parts
		operations []operation
	}

	// asked is one request whose operator is known.
	asked struct {
		*fiber.Ctx
		operator kqoperator.Operator
		now      time.Time
	}
)

// New returns the API.
func New(parts Parts) *API {
	a := &API{parts: parts}
	a.operations = a.table()
	return a
}

// Register adds the operations to a server.
func (a *API) Register(app fiber.Router) {
	description := a.describe()
	app.Get(Prefix+"/openapi.json", func(c *fiber.Ctx) error { return c.JSON(description) })
	for _, o := range a.operations {
		app.Add(o.method, Prefix+o.served(), a.serve(o))
	}
	// A path that is there under another method is told apart from none.
	app.All(Prefix+"/*", func(c *fiber.Ctx) error {
		return a.Refuse(c, kqproblem.New(kqproblem.NotFound, "no operation has this method and path; see "+Prefix+"/openapi.json"))
	})
}

// Refuse answers with a problem and counts it.
func (a *API) Refuse(c *fiber.Ctx, p *kqproblem.Problem) error {
	a.parts.Counter.AdminRefused(string(p.Code))
	if p.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	if p.Status == fiber.StatusUnauthorized {
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
	}
	if err := c.Status(p.Status).JSON(p); err != nil {
		return fmt.Errorf("answer with problem: %w", err)
	}
	c.Set(fiber.HeaderContentType, kqproblem.MediaType)
	return nil
}

func (a *API) serve(o operation) fiber.Handler {
	return func(c *fiber.Ctx) error {
		now := a.parts.Now()
		c.Set(fiber.HeaderCacheControl, "no-store")
		operator, problem := a.parts.Auth.Token(bearer(c), c.IP(), now)
		if problem != nil {
			a.refusedStranger(c, o, problem, now)
			return a.Refuse(c, problem)
		}
		answer, problem := o.handle(asked{Ctx: c, operator: operator, now: now})
		if problem != nil {
			return a.Refuse(c, problem)
		}
		return c.JSON(answer)
	}
}

// refusedStranger records who was refused before anybody was known, but not
// those that are held back: at their rate they would push all else out of the
// list and fill the log. Reading without a token is no attempt.
func (a *API) refusedStranger(c *fiber.Ctx, o operation, p *kqproblem.Problem, now time.Time) {
	if p.Code == kqproblem.TooManyFailures || p.Code == kqproblem.NoToken && o.method == fiber.MethodGet {
		return
	}
	a.parts.Audit.Add(kqaudit.Record{At: now, Source: c.IP(), Way: "api", What: o.method + " " + o.path, Refused: p.Code})
}

func (a *API) change(q asked, c Change, edit kqchange.Edit) (any, *kqproblem.Problem) {
	result, problem := a.parts.Changer.Submit(q.UserContext(), kqchange.Request{
		Operator: q.operator, Source: q.IP(), Way: "api",
		ID: c.RequestID, Base: c.Base, Reason: c.Reason, DryRun: q.QueryBool("dry_run"), Edit: edit,
	}, q.now)
	if problem != nil {
		return nil, problem
	}
	return result, nil
}

func (a *API) document(q asked) (kqdocument.Document, kqname.ConfigVersion, *kqproblem.Problem) {
	d, root, err := a.parts.Committer.Document(q.UserContext())
	if err != nil {
		return d, 0, kqproblem.New(kqproblem.PlatformDown, err.Error())
	}
	return d, root.Version, nil
}

func bearer(c *fiber.Ctx) string {
	token, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(token)
}

// read reads the request's JSON body.
func (q asked) read(value any) *kqproblem.Problem {
	if err := kqchange.DecodeStrict(q.Body(), value); err != nil {
		return kqproblem.New(kqproblem.Malformed, err.Error())
	}
	return nil
}

// item returns the kind and name of an item's path.
func (q asked) item(kind string) (kqchange.Kind, string, *kqproblem.Problem) {
	name := q.Params("name")
	if !kqname.Valid(name) {
		return nil, "", kqproblem.New(kqproblem.Malformed, "the name in the path is not a plain name")
	}
	return kqchange.Kinds[kind], name, nil
}

func notFound(err error) *kqproblem.Problem {
	if errors.Is(err, kqchange.ErrItemNotFound) {
		return kqproblem.New(kqproblem.NotFound, err.Error())
	}
	return kqproblem.New(kqproblem.Internal, err.Error())
}
