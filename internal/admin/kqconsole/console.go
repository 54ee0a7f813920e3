package kqconsole

import (
	"bytes"
	"crypto/subtle"
	"embed"
	"fmt"
	"html/template"
	"io/fs"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqapi"

	"github.com/gofiber/fiber/v2"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqaudit"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqauth"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqrollouthistory"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
)

const (
	// plainCookie is the session cookie without TLS, which is allowed only on
	// loopback or in a trusted network. The __Host- prefix of secureCookie makes
	// browsers accept it only over TLS and bind it to this host.
	plainCookie  = "kq_session"
	secureCookie = "__Host-kq_session"

	csrfField      = "csrf"
	refreshSeconds = 5
)

//go:embed pages/*.html
var pageFiles embed.FS

//go:embed assets/*
var assetFiles embed.FS

type (
	// Parts are the dependencies of the console: those of the API, since both
	// make the same changes, and the rollout history for the plots.
	Parts struct {
		kqapi.Parts
		// History holds the samples of the rollouts, not the configuration versions.
		History *kqrollouthistory.History
	}

	// Console serves the console's pages.
	Console struct {
		parts Parts
		pages map[string]*template.Template
	}

	// page is the template data of every page.
	page struct {
		Title, Active string
		Operator      kqoperator.Operator
		CSRF          string
		// Refresh is the interval of automatic reloads in seconds; 0 disables
		// them.
		Refresh int
		Problem *kqproblem.Problem
		Data    any
	}

	// request is a request with a valid session.
	request struct {
		*fiber.Ctx
		session  kqauth.Session
		operator kqoperator.Operator
		now      time.Time
	}
)

// New returns a console with its page templates parsed.
func New(parts Parts) (*Console, error) {
	c := &Console{parts: parts, pages: make(map[string]*template.Template)}
	names, err := fs.Glob(pageFiles, "pages/*.html")
	if err != nil {
		return nil, fmt.Errorf("find pages: %w", err)
	}
	for _, name := range names {
		short := strings.TrimSuffix(strings.TrimPrefix(name, "pages/"), ".html")
		c.pages[short], err = template.New("layout.html").Funcs(functions).ParseFS(pageFiles, "pages/layout.html", "pages/parts.html", name)
		if err != nil {
			return nil, fmt.Errorf("parse page %s: %w", short, err)
		}
	}
	return c, nil
}

// Register adds the pages to a router.
func (c *Console) Register(app fiber.Router) {
	app.Get("/assets/style.css", func(q *fiber.Ctx) error {
		data, err := assetFiles.ReadFile("assets/style.css")
		if err != nil {
			return fmt.Errorf("read stylesheet: %w", err)
		}
		q.Set(fiber.HeaderContentType, "text/css; charset=utf-8")
		return q.Send(data)
	})
	app.Get("/login", c.showLogin)
	app.Post("/login", c.login)
	app.Post("/logout", c.requireSession(c.logout))
	app.Get("/", c.requireSession(c.overview))
	app.Get("/fleet", c.requireSession(c.fleet))
	app.Get("/fleet/:name", c.requireSession(c.node))
	app.Get("/moves", c.requireSession(c.moves))
	app.Get("/history", c.requireSession(c.history))
	app.Get("/history/:version", c.requireSession(c.version))
	app.Get("/platform", c.requireSession(c.platform))
	app.Get("/requests", c.requireSession(c.requests))
	app.Post("/requests/clear", c.requireSession(c.clearRequest))
	app.Get("/audit", c.requireSession(c.audit))
	for kind := range forms {
		app.Get("/"+kind, c.requireSession(func(req request) error { return c.list(req, kind) }))
		app.Get("/"+kind+"/new", c.requireSession(func(req request) error { return c.showNew(req, kind) }))
		app.Get("/"+kind+"/edit/:name", c.requireSession(func(req request) error { return c.showEdit(req, kind) }))
		app.Post("/"+kind+"/change", c.requireSession(func(req request) error { return c.change(req, kind) }))
	}
}

// requireSession redirects requests without a valid session to the login page
// and refuses forms from another origin or without the session's CSRF token.
// Otherwise another site could make an operator's browser submit a change in the
// operator's name.
func (c *Console) requireSession(handle func(request) error) fiber.Handler {
	return func(q *fiber.Ctx) error {
		q.Set(fiber.HeaderCacheControl, "no-store")
		now := c.parts.Now()
		session, operator, ok := c.parts.Auth.Session(q.Cookies(cookieName(q)), now)
		if !ok {
			return q.Redirect("/login", fiber.StatusSeeOther)
		}
		req := request{Ctx: q, session: session, operator: operator, now: now}
		if q.Method() == fiber.MethodPost && (!isSameOrigin(q) ||
			subtle.ConstantTimeCompare([]byte(q.FormValue(csrfField)), []byte(session.CSRF)) != 1) {
			return c.refuse(req, kqproblem.New(kqproblem.CSRFCheckFailed, "open the page again and send the form from there"))
		}
		return handle(req)
	}
}

func (c *Console) showLogin(q *fiber.Ctx) error {
	return c.render(q, fiber.StatusOK, "login", page{Title: "Log in"})
}

func (c *Console) login(q *fiber.Ctx) error {
	now := c.parts.Now()
	problem := kqproblem.New(kqproblem.CSRFCheckFailed, "the form came from another site")
	if isSameOrigin(q) {
		var session kqauth.Session
		session, problem = c.parts.Auth.StartSession(strings.TrimSpace(q.FormValue("token")), q.IP(), now)
		if problem == nil {
			q.Cookie(&fiber.Cookie{
				Name: cookieName(q), Value: session.ID, Path: "/", HTTPOnly: true, Secure: q.Secure(),
				SameSite: fiber.CookieSameSiteStrictMode, SessionOnly: true,
			})
			return q.Redirect("/", fiber.StatusSeeOther)
		}
	}
	c.parts.Counter.AdminRefused(string(problem.Code))
	// Throttled logins are not recorded: their rate would evict all other records.
	if problem.Code != kqproblem.TooManyFailures {
		c.parts.Audit.Add(kqaudit.Record{At: now, Source: q.IP(), Way: "console", What: "log in", Refused: problem.Code})
	}
	if problem.RetryAfter > 0 {
		q.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(problem.RetryAfter.Seconds()))))
	}
	return c.render(q, problem.Status, "login", page{Title: "Log in", Problem: problem})
}

func (c *Console) logout(req request) error {
	c.parts.Auth.EndSession(req.session.ID)
	req.Cookie(&fiber.Cookie{Name: cookieName(req.Ctx), Path: "/", HTTPOnly: true, Secure: req.Secure(), SameSite: fiber.CookieSameSiteStrictMode, MaxAge: -1})
	return req.Redirect("/login", fiber.StatusSeeOther)
}

// refuse renders the problem page and counts the refusal.
func (c *Console) refuse(req request, p *kqproblem.Problem) error {
	c.parts.Counter.AdminRefused(string(p.Code))
	return c.show(req, p.Status, "problem", page{Title: p.Title, Problem: p})
}

// show renders a page with the session's operator and CSRF token.
func (c *Console) show(req request, status int, name string, p page) error {
	p.Operator, p.CSRF = req.operator, req.session.CSRF
	return c.render(req.Ctx, status, name, p)
}

func (c *Console) render(q *fiber.Ctx, status int, name string, p page) error {
	var out bytes.Buffer
	if err := c.pages[name].Execute(&out, p); err != nil {
		return fmt.Errorf("render page %s: %w", name, err)
	}
	q.Set(fiber.HeaderContentType, fiber.MIMETextHTMLCharsetUTF8)
	return q.Status(status).Send(out.Bytes())
}

func cookieName(q *fiber.Ctx) string {
	if q.Secure() {
		return secureCookie
	}
	return plainCookie
}

// isSameOrigin reports whether, according to the browser's Sec-Fetch-Site header,
// the request does not come from another origin. Programs other than browsers do
// not send the header, but have no operator's cookie either.
func isSameOrigin(q *fiber.Ctx) bool {
	site := q.Get("Sec-Fetch-Site")
	return site == "" || site == "same-origin" || site == "none"
}
