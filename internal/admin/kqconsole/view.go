package kqconsole

import (
	"slices"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const historyPage = 50

type move struct {
	kqboard.Status
	Plot plot
}

func (c *Console) overview(v visit) error {
	convergence, err := c.parts.View.Convergence(v.UserContext(), v.now)
	data := map[string]any{"Fleet": c.parts.View.Fleet(), "Moves": c.ranked(), "Convergence": convergence}
	if err != nil {
		data["Down"] = err.Error()
	}
	return c.show(v, fiber.StatusOK, "overview", page{Title: "Overview", Active: "overview", Refresh: refreshPages, Data: data})
}

// ranked is the rollouts without an end first, the latest first.
func (c *Console) ranked() []move {
	list := c.parts.Rollouts()
	slices.Reverse(list)
	slices.SortStableFunc(list, func(a, b kqboard.Status) int { return order(a.State) - order(b.State) })
	moves := make([]move, 0, len(list))
	for _, s := range list {
		moves = append(moves, move{Status: s, Plot: plotOf(c.parts.History.Points(s.Rollout))})
	}
	return moves
}

func order(s kqboard.State) int {
	switch s {
	case kqboard.Running:
		return 0
	case kqboard.Pending:
		return 1
	default:
		return 2
	}
}

func (c *Console) fleet(v visit) error {
	return c.show(v, fiber.StatusOK, "fleet", page{Title: "Fleet", Active: "fleet", Refresh: refreshPages, Data: c.parts.View.Fleet()})
}

// node asks one node, and shows what it tells of itself.
func (c *Console) node(v visit) error {
	name := v.Params("name")
	r, err := c.parts.View.Report(v.UserContext(), kqname.Node(name))
	if err != nil {
		return c.refuse(v, kqproblem.New(kqproblem.NotFound, err.Error()))
	}
	return c.show(v, fiber.StatusOK, "node", page{Title: "Node " + name, Active: "fleet", Data: r})
}

func (c *Console) moves(v visit) error {
	return c.show(v, fiber.StatusOK, "moves", page{Title: "Moves", Active: "moves", Refresh: refreshPages, Data: c.ranked()})
}

func (c *Console) history(v visit) error {
	list, err := c.parts.View.History(v.UserContext(), historyPage)
	if err != nil {
		return c.refuse(v, kqproblem.New(kqproblem.PlatformDown, err.Error()))
	}
	return c.show(v, fiber.StatusOK, "history", page{Title: "History", Active: "history", Data: list})
}

// version shows what one version changed.
func (c *Console) version(v visit) error {
	number, err := strconv.ParseUint(v.Params("version"), 10, 64)
	if err != nil || number == 0 {
		return c.refuse(v, kqproblem.New(kqproblem.NotFound, "there is no such version"))
	}
	version := kqname.ConfigVersion(number)
	after, err := c.parts.Committer.DocumentAt(v.UserContext(), version)
	if err != nil {
		return c.refuse(v, kqproblem.New(kqproblem.NotFound, err.Error()))
	}
	before, err := c.parts.Committer.DocumentAt(v.UserContext(), version-1)
	if err != nil {
		return c.refuse(v, kqproblem.New(kqproblem.NotFound, err.Error()))
	}
	return c.show(v, fiber.StatusOK, "version", page{
		Title: "Version " + strconv.FormatUint(number, 10), Active: "history",
		Data: differences(kqdocument.Diff(before, after)),
	})
}

func (c *Console) platform(v visit) error {
	p := c.parts.View.Platform(v.UserContext(), v.now, func(t time.Time) time.Duration { return c.parts.Now().Sub(t) })
	return c.show(v, fiber.StatusOK, "platform", page{Title: "Platform", Active: "platform", Refresh: refreshPages, Data: p})
}

func (c *Console) audit(v visit) error {
	return c.show(v, fiber.StatusOK, "audit", page{Title: "Audit", Active: "audit", Data: c.parts.Audit.Records(v.operator)})
}
