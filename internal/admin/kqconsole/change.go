package kqconsole

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqchange"
	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	actionReview = "review"
	actionCommit = "commit"
	actionEdit   = "edit"
	actionRemove = "remove"

	valuePrefix = "f_"
)

type (
	// sheet is one form as it stands, filled in or not.
	sheet struct {
		Form form
		// Name is the item's, "" for a new one.
		Name      string
		Base      kqname.ConfigVersion
		RequestID string
		Reason    string
		Remove    bool
		Inputs    []input
		// Other are faults that stand beside no field.
		Other []kqproblem.Field
		// Theirs is what changed since the form was opened, Mine what this
		// form would change; both stand after a conflict.
		Theirs, Mine []difference
		Conflict     bool
	}

	// input is one field with what was filled in and what is wrong with it.
	input struct {
		field
		Value, Fault string
		Options      []string
		Fixed        bool
	}
)

func (c *Console) list(v visit, kind string) error {
	d, root, err := c.parts.Committer.Document(v.UserContext())
	if err != nil {
		return c.refuse(v, kqproblem.New(kqproblem.PlatformDown, err.Error()))
	}
	rows, err := rowsOf(forms[kind], kqchange.Kinds[kind].List(d))
	if err != nil {
		return err
	}
	return c.show(v, fiber.StatusOK, "list", page{Title: title(kind), Active: kind, Data: map[string]any{
		"Form": forms[kind], "Rows": rows, "Version": root.Version,
	}})
}

func (c *Console) blank(v visit, kind string) error {
	return c.sheet(v, kind, "", map[string]string{"path_prefix": "/"})
}

func (c *Console) edit(v visit, kind string) error {
	d, _, err := c.parts.Committer.Document(v.UserContext())
	if err != nil {
		return c.refuse(v, kqproblem.New(kqproblem.PlatformDown, err.Error()))
	}
	item, err := kqchange.Kinds[kind].Get(d, v.Params("name"))
	if err != nil {
		return c.refuse(v, kqproblem.New(kqproblem.NotFound, err.Error()))
	}
	values, err := forms[kind].values(item)
	if err != nil {
		return err
	}
	return c.sheet(v, kind, v.Params("name"), values)
}

func (c *Console) sheet(v visit, kind, name string, values map[string]string) error {
	d, root, err := c.parts.Committer.Document(v.UserContext())
	if err != nil {
		return c.refuse(v, kqproblem.New(kqproblem.PlatformDown, err.Error()))
	}
	s := sheet{Form: forms[kind], Name: name, Base: root.Version, RequestID: uuid.NewString()}
	s.fill(d, v, values, nil)
	return c.showSheet(v, fiber.StatusOK, s)
}

// change takes a form that was sent: to be seen as a difference, to be edited
// again, or to be committed. Its inputs come back on every page.
func (c *Console) change(v visit, kind string) error {
	d, root, err := c.parts.Committer.Document(v.UserContext())
	if err != nil {
		return c.refuse(v, kqproblem.New(kqproblem.PlatformDown, err.Error()))
	}
	s := sheet{
		Form: forms[kind], Name: v.FormValue("name"), RequestID: v.FormValue("request_id"),
		Reason: v.FormValue("reason"), Remove: v.FormValue("remove") != "",
	}
	base, err := strconv.ParseUint(v.FormValue("base"), 10, 64)
	if err != nil {
		return c.refuse(v, kqproblem.New(kqproblem.Malformed, "the form's version is not a number"))
	}
	s.Base = kqname.ConfigVersion(base)
	values := make(map[string]string)
	for _, f := range s.Form.Fields {
		values[f.Name] = v.FormValue(valuePrefix + f.Name)
	}
	if s.Name != "" {
		values["name"] = s.Name
	}
	action := v.FormValue("action")
	s.Remove = s.Remove || action == actionRemove
	if action == actionEdit {
		s.Remove = false
		s.fill(d, v, values, nil)
		return c.showSheet(v, fiber.StatusOK, s)
	}
	edit, faults := s.edit(values)
	if s.Name == "" && len(faults) == 0 {
		if _, err := kqchange.Kinds[kind].Get(d, values["name"]); err == nil && action != actionCommit {
			faults = map[string]string{"name": "is taken; open that " + s.Form.One + " to change it"}
		}
	}
	s.fill(d, v, values, faults)
	if len(faults) > 0 {
		c.parts.Counter.AdminRefused(string(kqproblem.Invalid))
		return c.showSheet(v, fiber.StatusUnprocessableEntity, s)
	}
	result, problem := c.parts.Changer.Submit(v.UserContext(), kqchange.Request{
		Operator: v.operator, Source: v.IP(), Way: "console", ID: s.RequestID, Base: &s.Base,
		Reason: s.Reason, DryRun: action != actionCommit, Edit: edit,
	}, v.now)
	switch {
	case problem != nil:
		return c.refuseChange(v, s, edit, d, root.Version, problem)
	case action == actionCommit:
		return v.Redirect("/", fiber.StatusSeeOther)
	default:
		return c.show(v, fiber.StatusOK, "review", page{Title: "Look before you commit", Active: kind, Data: map[string]any{
			"Sheet": s, "Difference": differences(result.Difference),
		}})
	}
}

// refuseChange brings the form back with what is wrong. After a conflict it
// shows both sides, and the form goes on from the version now in force.
func (c *Console) refuseChange(v visit, s sheet, edit kqchange.Edit, d kqdocument.Document, version kqname.ConfigVersion, p *kqproblem.Problem) error {
	c.parts.Counter.AdminRefused(string(p.Code))
	for _, f := range p.Errors {
		if !s.blame(f) {
			s.Other = append(s.Other, f)
		}
	}
	switch p.Code {
	case kqproblem.Stale:
		s.Conflict, s.Theirs = true, differences(p.Difference)
		if next, err := edit.Apply(d); err == nil {
			s.Mine = differences(kqdocument.Diff(d, next))
		}
		s.Base, s.RequestID = max(version, p.Version), uuid.NewString()
	case kqproblem.Unsettled, kqproblem.PlatformDown:
		// The same request may be sent again: it is committed once at most.
	default:
		s.RequestID = uuid.NewString()
	}
	return c.show(v, p.Status, "form", page{Title: s.title(), Active: s.Form.Kind, Problem: p, Data: s})
}

func (c *Console) showSheet(v visit, status int, s sheet) error {
	return c.show(v, status, "form", page{Title: s.title(), Active: s.Form.Kind, Data: s})
}

// edit turns what was filled in into a change of the document.
func (s *sheet) edit(values map[string]string) (kqchange.Edit, map[string]string) {
	kind := kqchange.Kinds[s.Form.Kind]
	if s.Remove {
		return kqchange.Delete(kind, s.Form.Kind, s.Name), nil
	}
	name := s.Name
	if name == "" {
		name = strings.TrimSpace(values["name"])
	}
	data, faults := s.Form.item(values)
	return kqchange.Put(kind, s.Form.Kind, name, data), faults
}

func (s *sheet) fill(d kqdocument.Document, v visit, values, faults map[string]string) {
	for _, f := range s.Form.Fields {
		i := input{field: f, Value: values[f.Name], Fault: faults[f.Name], Fixed: f.Name == "name" && s.Name != ""}
		if f.choose != nil {
			i.Options = f.choose(d, v.operator)
		}
		// Without an empty choice the browser takes the first one, and a route
		// would lead to whichever service comes first by name.
		if f.Required && i.Value == "" && len(i.Options) > 1 {
			i.Options = append([]string{""}, i.Options...)
		}
		s.Inputs = append(s.Inputs, i)
	}
}

// blame puts a fault beside its field, if it has one.
func (s *sheet) blame(f kqproblem.Field) bool {
	name, ok := strings.CutPrefix(f.Pointer, "/item/")
	if !ok {
		return false
	}
	for i := range s.Inputs {
		if s.Inputs[i].Name == name {
			if s.Inputs[i].Fault != "" {
				s.Inputs[i].Fault += "; "
			}
			s.Inputs[i].Fault += f.Detail
			return true
		}
	}
	return false
}

func (s *sheet) title() string {
	if s.Name == "" {
		return "New " + s.Form.One
	}
	return fmt.Sprintf("Change %s %s", s.Form.One, s.Name)
}
