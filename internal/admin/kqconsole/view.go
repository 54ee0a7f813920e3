package kqconsole

import (
	"slices"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// historyPageSize is the number of versions on the history page.
const historyPageSize = 50

// rolloutView is a rollout's status with the plot of its history.
type rolloutView struct {
	kqtracker.Status
	Plot plot
}

func (c *Console) overview(req request) error {
	convergence, err := c.parts.View.Convergence(req.UserContext(), req.now)
	data := map[string]any{"Fleet": c.parts.View.Fleet(), "Moves": c.rolloutViews(), "Convergence": convergence}
	if err != nil {
		data["Down"] = err.Error()
	}
	return c.show(req, fiber.StatusOK, "overview", page{Title: "Overview", Active: "overview", Refresh: refreshSeconds, Data: data})
}

// rolloutViews returns the running rollouts, then the pending and the ended ones,
// each with the latest start first: the status list is ordered by start.
func (c *Console) rolloutViews() []rolloutView {
	list := c.parts.Rollouts()
	slices.Reverse(list)
	slices.SortStableFunc(list, func(a, b kqtracker.Status) int { return stateRank(a.State) - stateRank(b.State) })
	views := make([]rolloutView, 0, len(list))
	for _, s := range list {
		views = append(views, rolloutView{Status: s, Plot: newPlot(c.parts.History.Points(s.Rollout))})
	}
	return views
}

// stateRank returns the sort rank of a state.
func stateRank(s kqtracker.State) int {
	switch s {
	case kqtracker.Running:
		return 0
	case kqtracker.Pending:
		return 1
	default:
		return 2
	}
}

func (c *Console) fleet(req request) error {
	return c.show(req, fiber.StatusOK, "fleet", page{Title: "Fleet", Active: "fleet", Refresh: refreshSeconds, Data: c.parts.View.Fleet()})
}

// node shows the report of one node.
func (c *Console) node(req request) error {
	name := req.Params("name")
	r, err := c.parts.View.Report(req.UserContext(), kqname.Node(name))
	if err != nil {
		return c.refuse(req, kqproblem.New(kqproblem.NotFound, err.Error()))
	}
	return c.show(req, fiber.StatusOK, "node", page{Title: "Node " + name, Active: "fleet", Data: r})
}

// moves shows the status of all rollouts.
func (c *Console) moves(req request) error {
	return c.show(req, fiber.StatusOK, "moves", page{Title: "Moves", Active: "moves", Refresh: refreshSeconds, Data: c.rolloutViews()})
}

func (c *Console) history(req request) error {
	list, err := c.parts.View.History(req.UserContext(), historyPageSize)
	if err != nil {
		return c.refuse(req, kqproblem.New(kqproblem.PlatformDown, err.Error()))
	}
	return c.show(req, fiber.StatusOK, "history", page{Title: "History", Active: "history", Data: list})
}

// version shows the difference between a version and the one before it.
func (c *Console) version(req request) error {
	number, err := strconv.ParseUint(req.Params("version"), 10, 64)
	if err != nil || number == 0 {
		return c.refuse(req, kqproblem.New(kqproblem.NotFound, "there is no such version"))
	}
	version := kqname.ConfigVersion(number)
	after, err := c.parts.Committer.DocumentAt(req.UserContext(), version)
	if err != nil {
		return c.refuse(req, kqproblem.New(kqproblem.NotFound, err.Error()))
	}
	before, err := c.parts.Committer.DocumentAt(req.UserContext(), version-1)
	if err != nil {
		return c.refuse(req, kqproblem.New(kqproblem.NotFound, err.Error()))
	}
	return c.show(req, fiber.StatusOK, "version", page{
		Title: "Version " + strconv.FormatUint(number, 10), Active: "history",
		Data: differences(kqdocument.Diff(before, after)),
	})
}

func (c *Console) platform(req request) error {
	p := c.parts.View.Platform(req.UserContext(), req.now, func(t time.Time) time.Duration { return c.parts.Now().Sub(t) })
	return c.show(req, fiber.StatusOK, "platform", page{Title: "Platform", Active: "platform", Refresh: refreshSeconds, Data: p})
}

func (c *Console) audit(req request) error {
	return c.show(req, fiber.StatusOK, "audit", page{Title: "Audit", Active: "audit", Data: c.parts.Audit.Records(req.operator)})
}
