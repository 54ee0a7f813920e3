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

	// valuePrefix begins the input names of the item's fields in a form.
	valuePrefix = "f_"
)

type (
	// formPage is the template data of one item's form, filled in or not.
	formPage struct {
		Form form
		// Name is the item's name, or "" for a new item.
		Name      string
		Base      kqname.ConfigVersion
		RequestID string
		Reason    string
		Remove    bool
		Inputs    []input
		// Other holds the errors that belong to no field of the form.
		Other []kqproblem.Field
		// Theirs holds the problem's Difference, usually the changes that others
		// committed since the form was opened, and Mine those of this form; both are
		// set after a conflict.
		Theirs, Mine []difference
		Conflict     bool
	}

	// input is one field with its submitted value and error text.
	input struct {
		field
		Value, Fault string
		Options      []string
		// Fixed makes the input read-only.
		Fixed bool
	}
)

func (c *Console) list(req request, kind string) error {
	d, root, err := c.parts.Committer.Document(req.UserContext())
	if err != nil {
		return c.refuse(req, kqproblem.New(kqproblem.PlatformDown, err.Error()))
	}
	rows, err := newRows(forms[kind], kqchange.Kinds[kind].List(d))
	if err != nil {
		return err
	}
	return c.show(req, fiber.StatusOK, "list", page{Title: title(kind), Active: kind, Data: map[string]any{
		"Form": forms[kind], "Rows": rows, "Version": root.Version,
	}})
}

// showNew shows the form of a new item, with only a route's path prefix filled in.
func (c *Console) showNew(req request, kind string) error {
	return c.formPage(req, kind, "", map[string]string{"path_prefix": "/"})
}

// showEdit shows the form of an existing item.
func (c *Console) showEdit(req request, kind string) error {
	d, _, err := c.parts.Committer.Document(req.UserContext())
	if err != nil {
		return c.refuse(req, kqproblem.New(kqproblem.PlatformDown, err.Error()))
	}
	item, err := kqchange.Kinds[kind].Get(d, req.Params("name"))
	if err != nil {
		return c.refuse(req, kqproblem.New(kqproblem.NotFound, err.Error()))
	}
	values, err := forms[kind].values(item)
	if err != nil {
		return err
	}
	return c.formPage(req, kind, req.Params("name"), values)
}

// formPage shows a newly opened form with values, based on the version in force.
func (c *Console) formPage(req request, kind, name string, values map[string]string) error {
	d, root, err := c.parts.Committer.Document(req.UserContext())
	if err != nil {
		return c.refuse(req, kqproblem.New(kqproblem.PlatformDown, err.Error()))
	}
	s := formPage{Form: forms[kind], Name: name, Base: root.Version, RequestID: uuid.NewString()}
	s.fillInputs(d, req, values, nil)
	return c.showForm(req, fiber.StatusOK, s)
}

// change handles a submitted form: depending on the action it shows the
// difference for review, shows the form again, or commits. A refused form is shown
// again with its errors. The review and the form keep the inputs.
func (c *Console) change(req request, kind string) error {
	d, root, err := c.parts.Committer.Document(req.UserContext())
	if err != nil {
		return c.refuse(req, kqproblem.New(kqproblem.PlatformDown, err.Error()))
	}
	s := formPage{
		Form: forms[kind], Name: req.FormValue("name"), RequestID: req.FormValue("request_id"),
		Reason: req.FormValue("reason"), Remove: req.FormValue("remove") != "",
	}
	base, err := strconv.ParseUint(req.FormValue("base"), 10, 64)
	if err != nil {
		return c.refuse(req, kqproblem.New(kqproblem.Malformed, "the form's version is not a number"))
	}
	s.Base = kqname.ConfigVersion(base)
	values := make(map[string]string)
	for _, f := range s.Form.Fields {
		values[f.Name] = req.FormValue(valuePrefix + f.Name)
	}
	if s.Name != "" {
		values["name"] = s.Name
	}
	action := req.FormValue("action")
	s.Remove = s.Remove || action == actionRemove
	if action == actionEdit {
		s.Remove = false
		s.fillInputs(d, req, values, nil)
		return c.showForm(req, fiber.StatusOK, s)
	}
	edit, fieldErrors := s.edit(values)
	// A commit skips this check, since a retry of a commit that succeeded would find its
	// own item. If the name was taken after the review, the commit's base is stale.
	if s.Name == "" && len(fieldErrors) == 0 {
		if _, err := kqchange.Kinds[kind].Get(d, values["name"]); err == nil && action != actionCommit {
			fieldErrors = map[string]string{"name": "is taken; open that " + s.Form.One + " to change it"}
		}
	}
	s.fillInputs(d, req, values, fieldErrors)
	if len(fieldErrors) > 0 {
		c.parts.Counter.AdminRefused(string(kqproblem.Invalid))
		return c.showForm(req, fiber.StatusUnprocessableEntity, s)
	}
	result, problem := c.parts.Changer.Submit(req.UserContext(), kqchange.Request{
		Operator: req.operator, Source: req.IP(), Way: "console", ID: s.RequestID, Base: &s.Base,
		Reason: s.Reason, DryRun: action != actionCommit, Edit: edit,
	}, req.now)
	switch {
	case problem != nil:
		return c.refuseChange(req, s, edit, d, root.Version, problem)
	case action == actionCommit:
		return req.Redirect("/", fiber.StatusSeeOther)
	default:
		return c.show(req, fiber.StatusOK, "review", page{Title: "Look before you commit", Active: kind, Data: map[string]any{
			"Sheet": s, "Difference": differences(result.Difference),
		}})
	}
}

// refuseChange shows the form again with the problem and the fields' errors.
// After a conflict it shows both sides and bases the form on the version now in
// force.
func (c *Console) refuseChange(req request, s formPage, edit kqchange.Edit, d kqdocument.Document, version kqname.ConfigVersion, p *kqproblem.Problem) error {
	c.parts.Counter.AdminRefused(string(p.Code))
	for _, f := range p.Errors {
		if !s.attachError(f) {
			s.Other = append(s.Other, f)
		}
	}
	switch p.Code {
	case kqproblem.StaleVersion:
		s.Conflict, s.Theirs = true, differences(p.Difference)
		if next, err := edit.Apply(d); err == nil {
			s.Mine = differences(kqdocument.Diff(d, next))
		}
		s.Base, s.RequestID = max(version, p.Version), uuid.NewString()
	case kqproblem.OutcomeUnknown, kqproblem.PlatformDown:
		// Keep the request ID for a retry: it is committed at most once.
	default:
		s.RequestID = uuid.NewString()
	}
	return c.show(req, p.Status, "form", page{Title: s.title(), Active: s.Form.Kind, Problem: p, Data: s})
}

func (c *Console) showForm(req request, status int, s formPage) error {
	return c.show(req, status, "form", page{Title: s.title(), Active: s.Form.Kind, Data: s})
}

// edit converts the submitted values into an edit of the document. It also
// returns the error texts of invalid fields by field name.
func (s *formPage) edit(values map[string]string) (kqchange.Edit, map[string]string) {
	kind := kqchange.Kinds[s.Form.Kind]
	if s.Remove {
		return kqchange.Delete(kind, s.Form.Kind, s.Name), nil
	}
	name := s.Name
	if name == "" {
		name = strings.TrimSpace(values["name"])
	}
	data, fieldErrors := s.Form.parseItem(values)
	return kqchange.Put(kind, s.Form.Kind, name, data), fieldErrors
}

// fillInputs sets the form's inputs from values and error texts by field name.
func (s *formPage) fillInputs(d kqdocument.Document, req request, values, fieldErrors map[string]string) {
	for _, f := range s.Form.Fields {
		i := input{field: f, Value: values[f.Name], Fault: fieldErrors[f.Name], Fixed: f.Name == "name" && s.Name != ""}
		if f.options != nil {
			i.Options = f.options(d, req.operator)
		}
		// Without an empty option the browser preselects the first one, and a
		// route would lead to whichever service is first by name.
		if f.Required && i.Value == "" && len(i.Options) > 1 {
			i.Options = append([]string{""}, i.Options...)
		}
		s.Inputs = append(s.Inputs, i)
	}
}

// attachError adds an error to the input of its field; it returns false if the
// form has no such input.
func (s *formPage) attachError(f kqproblem.Field) bool {
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

func (s *formPage) title() string {
	if s.Name == "" {
		return "New " + s.Form.One
	}
	return fmt.Sprintf("Change %s %s", s.Form.One, s.Name)
}
