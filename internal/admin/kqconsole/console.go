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
	"github.com/kumquatgw/kumquatgw/internal/admin/kqtrail"
	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
)

const (
	// plainCookie is the session's cookie without TLS, on loopback only; with
	// TLS the prefix makes browsers bind it to this host and to TLS.
	plainCookie  = "kq_session"
	secureCookie = "__Host-kq_session"

	csrfField    = "csrf"
	refreshPages = 5
)

//go:embed pages/*.html
var pageFiles embed.FS

//go:embed assets/*
var assetFiles embed.FS

type (
	// Parts are what the console shows and drives: the API's, as both make the same
	// changes, and the rollouts' course.
	Parts struct {
		kqapi.Parts
		History *kqtrail.History
	}

	// Console serves the pages.
	Console struct {
		parts Parts
		pages map[string]*template.Template
	}

	// page is what every page shows.
	page struct {
		Title, Active string
		Operator      kqoperator.Operator
		CSRF          string
		// Refresh reloads the page after so many seconds; 0 never does.
		Refresh int
		Problem *kqproblem.Problem
		Data    any
	}

	// visit is one request of an operator who has logged in.
	visit struct {
		*fiber.Ctx
		session  kqauth.Session
		operator kqoperator.Operator
		now      time.Time
	}
)

// New returns the console.
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
			return nil, fmt.Errorf("read page %s: %w", short, err)
		}
	}
	return c, nil
}

// Register adds the pages to a server.
func (c *Console) Register(app fiber.Router) {
	app.Get("/assets/style.css", func(q *fiber.Ctx) error {
		data, err := assetFiles.ReadFile("assets/style.css")
		if err != nil {
			return fmt.Errorf("read style: %w", err)
		}
		q.Set(fiber.HeaderContentType, "text/css; charset=utf-8")
		return q.Send(data)
	})
	app.Get("/login", c.showLogin)
	app.Post("/login", c.login)
	app.Post("/logout", c.signed(c.logout))
	app.Get("/", c.signed(c.overview))
	app.Get("/fleet", c.signed(c.fleet))
	app.Get("/fleet/:name", c.signed(c.node))
	app.Get("/moves", c.signed(c.moves))
	app.Get("/history", c.signed(c.history))
	app.Get("/history/:version", c.signed(c.version))
	app.Get("/platform", c.signed(c.platform))
	app.Get("/audit", c.signed(c.audit))
	for kind := range forms {
		app.Get("/"+kind, c.signed(func(v visit) error { return c.list(v, kind) }))
		app.Get("/"+kind+"/new", c.signed(func(v visit) error { return c.blank(v, kind) }))
		app.Get("/"+kind+"/edit/:name", c.signed(func(v visit) error { return c.edit(v, kind) }))
		app.Post("/"+kind+"/change", c.signed(func(v visit) error { return c.change(v, kind) }))
	}
}

// signed lets only operators in who have logged in, and forms only with the
// mark of their session: another site could otherwise make an operator's
// browser send one, and the fleet would change in his name.
func (c *Console) signed(handle func(visit) error) fiber.Handler {
	return func(q *fiber.Ctx) error {
		q.Set(fiber.HeaderCacheControl, "no-store")
		now := c.parts.Now()
		session, operator, ok := c.parts.Auth.Session(q.Cookies(cookieName(q)), now)
		if !ok {
			return q.Redirect("/login", fiber.StatusSeeOther)
		}
		v := visit{Ctx: q, session: session, operator: operator, now: now}
		if q.Method() == fiber.MethodPost && (!sameSite(q) ||
			subtle.ConstantTimeCompare([]byte(q.FormValue(csrfField)), []byte(session.CSRF)) != 1) {
			return c.refuse(v, kqproblem.New(kqproblem.NoCSRF, "open the page again and send the form from there"))
		}
		return handle(v)
	}
}

func (c *Console) showLogin(q *fiber.Ctx) error {
	return c.render(q, fiber.StatusOK, "login", page{Title: "Log in"})
}

func (c *Console) login(q *fiber.Ctx) error {
	now := c.parts.Now()
	problem := kqproblem.New(kqproblem.NoCSRF, "the form came from another site")
	if sameSite(q) {
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
	if problem.Code != kqproblem.TooManyFailures {
		c.parts.Audit.Add(kqaudit.Record{At: now, Source: q.IP(), Way: "console", What: "log in", Refused: problem.Code})
	}
	if problem.RetryAfter > 0 {
		q.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(problem.RetryAfter.Seconds()))))
	}
	return c.render(q, problem.Status, "login", page{Title: "Log in", Problem: problem})
}

func (c *Console) logout(v visit) error {
	c.parts.Auth.EndSession(v.session.ID)
	v.Cookie(&fiber.Cookie{Name: cookieName(v.Ctx), Path: "/", HTTPOnly: true, Secure: v.Secure(), SameSite: fiber.CookieSameSiteStrictMode, MaxAge: -1})
	return v.Redirect("/login", fiber.StatusSeeOther)
}

// refuse shows a problem on a page of its own, and counts it.
func (c *Console) refuse(v visit, p *kqproblem.Problem) error {
	c.parts.Counter.AdminRefused(string(p.Code))
	return c.show(v, p.Status, "problem", page{Title: p.Title, Problem: p})
}

func (c *Console) show(v visit, status int, name string, p page) error {
	p.Operator, p.CSRF = v.operator, v.session.CSRF
	return c.render(v.Ctx, status, name, p)
}

func (c *Console) render(q *fiber.Ctx, status int, name string, p page) error {
	var out bytes.Buffer
	if err := c.pages[name].Execute(&out, p); err != nil {
		return fmt.Errorf("show %s: %w", name, err)
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

// sameSite believes the browser's own word on where a form came from; programs
// other than browsers send none, and hold no operator's cookie.
func sameSite(q *fiber.Ctx) bool {
	site := q.Get("Sec-Fetch-Site")
	return site == "" || site == "same-origin" || site == "none"
}
