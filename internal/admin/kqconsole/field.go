package kqconsole

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/security/kqoperator"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

const (
	typeText    inputType = "text"
	typeNumber  inputType = "number"
	typeShare   inputType = "share"
	typeTime    inputType = "time"
	typeSelect  inputType = "select"
	typeCheck   inputType = "check"
	typeHeaders inputType = "headers"

	// timeLayout is that of a datetime-local input, read as UTC.
	timeLayout   = "2006-01-02T15:04"
	secondLayout = "2006-01-02T15:04:05"
)

var errNotFit = errors.New("does not fit the field")

type (
	// inputType says how a field is shown and read.
	inputType string

	// field is one field of a form. Its name is the item's in JSON.
	field struct {
		Name, Label, Help string
		Type              inputType
		Required          bool
		// choose returns what a select offers.
		choose func(kqdocument.Document, kqoperator.Operator) []string
	}

	// form is the form of one kind of item.
	form struct {
		Kind, One, About string
		Fields           []field
		AdminOnly        bool
	}
)

var forms = map[string]form{
	"services": {Kind: "services", One: "service", About: "A service is a set of upstreams that answer the same calls.", Fields: []field{
		{Name: "name", Label: "Name", Type: typeText, Required: true, Help: "Lower-case letters, digits, dots, dashes and underscores."},
		{Name: "team", Label: "Team", Type: typeSelect, Required: true, choose: teams},
		{Name: "version", Label: "Upstream version", Type: typeText, Help: "Gets all traffic while no rollout is under way; empty lets every announced version serve."},
		{Name: "timeout_ms", Label: "Timeout (ms)", Type: typeNumber, Help: "Bounds one call; empty means 10,000."},
		{Name: "refusal_means_not_run", Label: "The upstream's own 503 is sent before the call runs", Type: typeCheck, Help: "Then such a call may be sent again."},
	}},
	"routes": {Kind: "routes", One: "route", About: "A route leads matching calls to a service.", Fields: []field{
		{Name: "name", Label: "Name", Type: typeText, Required: true},
		{Name: "team", Label: "Team", Type: typeSelect, Required: true, choose: teams},
		{Name: "host", Label: "Host", Type: typeText, Required: true, Help: "The lower-case name in callers' Host header."},
		{Name: "path_prefix", Label: "Path prefix", Type: typeText, Required: true, Help: "Begins with /; longer prefixes win."},
		{Name: "method", Label: "Method", Type: typeSelect, choose: fixed("", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"), Help: "Empty takes every method."},
		{Name: "headers", Label: "Headers", Type: typeHeaders, Help: "One a line, as Name: value; all must match."},
		{Name: "service", Label: "Service", Type: typeSelect, Required: true, choose: services},
		{Name: "timeout_ms", Label: "Timeout (ms)", Type: typeNumber, Help: "Empty takes the service's."},
		{Name: "class", Label: "Class", Type: typeSelect, choose: fixed("", "critical", "normal", "background"), Help: "Whom the fleet serves first when it is full."},
		{Name: "idempotent", Label: "Calls may run twice without harm", Type: typeCheck, Help: "GET, HEAD, OPTIONS and TRACE are taken to be so."},
	}},
	"rollouts": {Kind: "rollouts", One: "rollout", About: "A rollout moves a service's traffic from one upstream version to another by its deadline, or takes it back.", Fields: []field{
		{Name: "name", Label: "Name", Type: typeText, Required: true},
		{Name: "team", Label: "Team", Type: typeSelect, Required: true, choose: teams},
		{Name: "service", Label: "Service", Type: typeSelect, Required: true, choose: services},
		{Name: "from", Label: "From version", Type: typeText, Required: true},
		{Name: "to", Label: "To version", Type: typeText, Required: true},
		{Name: "start", Label: "Start (UTC)", Type: typeTime, Required: true},
		{Name: "deadline", Label: "Deadline (UTC)", Type: typeTime, Required: true},
		{Name: "policy", Label: "Policy", Type: typeSelect, Required: true, choose: policies},
		{Name: "cancelled", Label: "Take it back at once", Type: typeCheck, Help: "Whatever its evidence."},
	}},
	"policies": {Kind: "policies", One: "policy", AdminOnly: true, About: "A policy says how rollouts are judged.", Fields: []field{
		{Name: "name", Label: "Name", Type: typeText, Required: true},
		{Name: "prefer", Label: "Without enough evidence at the deadline", Type: typeSelect, Required: true, choose: fixed("finishing", "taking_back")},
		{Name: "small_share", Label: "Small share", Type: typeShare, Help: "From 0 to 0.05: the most traffic before the evidence is in; empty takes the preset's."},
	}},
	"teams": {Kind: "teams", One: "team", AdminOnly: true, About: "A team owns services, routes and rollouts, up to its quotas.", Fields: []field{
		{Name: "name", Label: "Name", Type: typeText, Required: true},
		{Name: "max_routes", Label: "Most routes", Type: typeNumber, Help: "Empty means no bound."},
		{Name: "max_rollouts", Label: "Most rollouts", Type: typeNumber, Help: "Empty means no bound."},
	}},
}

func fixed(values ...string) func(kqdocument.Document, kqoperator.Operator) []string {
	return func(kqdocument.Document, kqoperator.Operator) []string { return values }
}

func teams(d kqdocument.Document, o kqoperator.Operator) []string {
	if o.Role == kqoperator.Member {
		return []string{string(o.Team)}
	}
	return namesOf(d.Teams, func(t kqdocument.Team) string { return string(t.Name) })
}

func services(d kqdocument.Document, _ kqoperator.Operator) []string {
	return namesOf(d.Services, func(s kqdocument.Service) string { return string(s.Name) })
}

func policies(d kqdocument.Document, _ kqoperator.Operator) []string {
	return namesOf(d.Policies, func(p kqdocument.Policy) string { return string(p.Name) })
}

func namesOf[T any](items []T, name func(T) string) []string {
	list := make([]string, 0, len(items))
	for _, i := range items {
		list = append(list, name(i))
	}
	slices.Sort(list)
	return list
}

// value reads what was filled in as the field's JSON value; ok is false for
// fields that were left empty.
func (f field) value(text string) (value any, ok bool, err error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return nil, false, nil
	}
	switch f.Type {
	case typeNumber:
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, false, fmt.Errorf("must be a whole number: %w", errNotFit)
		}
		return n, true, nil
	case typeShare:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, false, fmt.Errorf("must be a number: %w", errNotFit)
		}
		return n, true, nil
	case typeTime:
		return readTime(text)
	case typeCheck:
		return true, true, nil
	case typeHeaders:
		return readHeaders(text)
	default:
		return text, true, nil
	}
}

// show is the inverse of value.
func (f field) show(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case bool:
		if v {
			return "on"
		}
		return ""
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	case map[string]any:
		var lines []string
		for name, text := range v {
			lines = append(lines, fmt.Sprintf("%s: %v", name, text))
		}
		slices.Sort(lines)
		return strings.Join(lines, "\n")
	case string:
		if at, err := time.Parse(time.RFC3339, v); err == nil && f.Type == typeTime {
			return at.UTC().Format(secondLayout)
		}
		return v
	default:
		return fmt.Sprint(v)
	}
}

func readTime(text string) (any, bool, error) {
	for _, layout := range []string{secondLayout, timeLayout, time.RFC3339} {
		if at, err := time.Parse(layout, text); err == nil {
			return at.UTC(), true, nil
		}
	}
	return nil, false, fmt.Errorf("must be a time such as 2026-12-24T18:00: %w", errNotFit)
}

func readHeaders(text string) (any, bool, error) {
	headers := make(map[string]string)
	for _, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, false, fmt.Errorf("must have a colon in each line: %w", errNotFit)
		}
		headers[strings.TrimSpace(name)] = strings.TrimSpace(value)
	}
	return headers, true, nil
}

// fields gives an item's values as a form shows them.
func (f form) values(item any) (map[string]string, error) {
	data, err := json.Marshal(item)
	if err != nil {
		return nil, fmt.Errorf("show item: %w", err)
	}
	var all map[string]any
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, fmt.Errorf("show item: %w", err)
	}
	values := make(map[string]string, len(f.Fields))
	for _, one := range f.Fields {
		values[one.Name] = one.show(all[one.Name])
	}
	return values, nil
}

// item makes JSON of what was filled in, and tells which fields do not fit.
func (f form) item(values map[string]string) (json.RawMessage, map[string]string) {
	all, faults := make(map[string]any), make(map[string]string)
	for _, one := range f.Fields {
		value, ok, err := one.value(values[one.Name])
		switch {
		case err != nil:
			faults[one.Name] = strings.TrimSuffix(err.Error(), ": "+errNotFit.Error())
		case !ok && one.Required:
			faults[one.Name] = "must be filled in"
		case ok:
			all[one.Name] = value
		}
	}
	data, err := json.Marshal(all)
	if err != nil {
		faults["name"] = err.Error()
	}
	return data, faults
}
