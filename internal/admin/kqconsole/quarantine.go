package kqconsole

import (
	"github.com/gofiber/fiber/v2"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqapi"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
)

// requests shows the requests under which upstreams ended.
func (c *Console) requests(req request) error {
	return c.show(req, fiber.StatusOK, "requests", page{Title: "Requests", Active: "requests", Refresh: refreshSeconds, Data: c.parts.View.SuspectRequests()})
}

// clearRequest makes all nodes send a request again.
func (c *Console) clearRequest(req request) error {
	found, err := kqfingerprint.Parse(req.FormValue("request"))
	if err != nil {
		return c.refuse(req, kqproblem.New(kqproblem.Malformed, err.Error()))
	}
	if _, problem := kqapi.ClearSuspectRequest(c.parts.Parts, req.operator, req.IP(), "console", found); problem != nil {
		return c.refuse(req, problem)
	}
	return req.Redirect("/requests", fiber.StatusSeeOther)
}
