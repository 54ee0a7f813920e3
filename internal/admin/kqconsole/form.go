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
	typeLines   inputType = "lines"

	// timeLayout and timeSecondsLayout are the formats of a datetime-local input,
	// without and with seconds; its values are UTC.
	timeLayout        = "2006-01-02T15:04"
	timeSecondsLayout = "2006-01-02T15:04:05"
)

// errInvalidValue is returned for text that is no value of the field's type.
var errInvalidValue = errors.New("invalid value")

type (
	// inputType selects how a field is rendered and parsed.
	inputType string

	// field is one field of a form. Name is the name of the item's JSON field.
	field struct {
		Name, Label, Help string
		Type              inputType
		Required          bool
		// options returns the options of a select for the operator.
		options func(kqdocument.Document, kqoperator.Operator) []string
	}

	// form describes the form of one kind of items. One is the kind's singular.
	form struct {
		Kind, One, About string
		Fields           []field
		// AdminOnly hides the button for new items from operators who are not admins. It
		// restricts nothing else: kqchange checks whether an operator may make a change.
		AdminOnly bool
	}
)

var forms = map[string]form{
	"services": {Kind: "services", One: "service", About: "A service is a set of upstreams that answer the same calls.", Fields: []field{
		{Name: "name", Label: "Name", Type: typeText, Required: true, Help: "Lower-case letters, digits, dots, dashes and underscores."},
		{Name: "team", Label: "Team", Type: typeSelect, Required: true, options: teamOptions},
		{Name: "version", Label: "Upstream version", Type: typeText, Help: "Gets all traffic while no rollout is under way; empty lets every announced version serve."},
		{Name: "timeout_ms", Label: "Timeout (ms)", Type: typeNumber, Help: "Bounds one call; empty means 10,000."},
		{Name: "refusal_means_not_run", Label: "The upstream's own 503 is sent before the call runs", Type: typeCheck, Help: "Then such a call may be sent again."},
		{Name: "cold_start_ms", Label: "Cold start (ms)", Type: typeNumber, Help: "How long an upstream is cold after its start; empty states none."},
		{Name: "cold_rate", Label: "Calls a second while cold", Type: typeShare, Help: "What a cold upstream bears; empty sets no limit."},
		{Name: "health_path", Label: "Health check path", Type: typeText, Help: "Where an upstream says whether it is cold; empty leaves it to announcements."},
	}},
	"routes": {Kind: "routes", One: "route", About: "A route leads matching calls to a service.", Fields: []field{
		{Name: "name", Label: "Name", Type: typeText, Required: true},
		{Name: "team", Label: "Team", Type: typeSelect, Required: true, options: teamOptions},
		{Name: "host", Label: "Host", Type: typeText, Required: true, Help: "The lower-case name in callers' Host header."},
		{Name: "path_prefix", Label: "Path prefix", Type: typeText, Required: true, Help: "Begins with /; longer prefixes win."},
		{Name: "method", Label: "Method", Type: typeSelect, options: fixedOptions("", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"), Help: "Empty takes every method."},
		{Name: "headers", Label: "Headers", Type: typeHeaders, Help: "One a line, as Name: value; all must match."},
		{Name: "service", Label: "Service", Type: typeSelect, Required: true, options: serviceOptions},
		{Name: "timeout_ms", Label: "Timeout (ms)", Type: typeNumber, Help: "Empty takes the service's."},
		{Name: "class", Label: "Class", Type: typeSelect, options: fixedOptions("", "critical", "normal", "background"), Help: "Whom the fleet serves first when it is full."},
		{Name: "allow_anonymous", Label: "Calls need no API key", Type: typeCheck, Help: "Matters only in a document with workspaces."},
		{Name: "idempotent", Label: "Calls may run twice without harm", Type: typeCheck, Help: "GET, HEAD, OPTIONS and TRACE are taken to be so."},
	}},
	"rollouts": {Kind: "rollouts", One: "rollout", About: "A rollout moves a service's traffic from one upstream version to another by its deadline, or takes it back.", Fields: []field{
		{Name: "name", Label: "Name", Type: typeText, Required: true},
		{Name: "team", Label: "Team", Type: typeSelect, Required: true, options: teamOptions},
		{Name: "service", Label: "Service", Type: typeSelect, Required: true, options: serviceOptions},
		{Name: "from", Label: "From version", Type: typeText, Required: true},
		{Name: "to", Label: "To version", Type: typeText, Required: true},
		{Name: "start", Label: "Start (UTC)", Type: typeTime, Required: true},
		{Name: "deadline", Label: "Deadline (UTC)", Type: typeTime, Required: true},
		{Name: "policy", Label: "Policy", Type: typeSelect, Required: true, options: policyOptions},
		{Name: "cancelled", Label: "Take it back at once", Type: typeCheck, Help: "Whatever its evidence."},
	}},
	"evacuations": {Kind: "evacuations", One: "evacuation", AdminOnly: true, About: "An evacuation keeps all calls away from the upstreams of a failure domain until it is removed.", Fields: []field{
		{Name: "name", Label: "Failure domain", Type: typeText, Required: true},
	}},
	"workspaces": {Kind: "workspaces", One: "workspace", AdminOnly: true, About: "A workspace is a tenant whose callers identify themselves by API keys.", Fields: []field{
		{Name: "name", Label: "Name", Type: typeText, Required: true},
		{Name: "class", Label: "Class", Type: typeSelect, options: fixedOptions("", "critical", "normal", "background"), Help: "Goes before the class of the route; empty leaves it to the route."},
		{Name: "rate_per_s", Label: "Calls a second", Type: typeShare, Help: "Over all nodes together; empty sets no limit."},
		{Name: "burst", Label: "Burst", Type: typeShare, Help: "Calls beyond the rate at once."},
		{Name: "key_digests", Label: "Key digests", Type: typeLines, Help: "One a line: the SHA-256 digest of an API key in lower-case hex, never the key itself."},
	}},
	"policies": {Kind: "policies", One: "policy", AdminOnly: true, About: "A policy says how rollouts are judged.", Fields: []field{
		{Name: "name", Label: "Name", Type: typeText, Required: true},
		{Name: "prefer", Label: "Without enough evidence at the deadline", Type: typeSelect, Required: true, options: fixedOptions("finishing", "taking_back")},
		{Name: "small_share", Label: "Small share", Type: typeShare, Help: "From 0 to 0.05: the most traffic before the evidence is in; empty takes the preset's."},
	}},
	"teams": {Kind: "teams", One: "team", AdminOnly: true, About: "A team owns services, routes and rollouts, up to its quotas.", Fields: []field{
		{Name: "name", Label: "Name", Type: typeText, Required: true},
		{Name: "max_routes", Label: "Most routes", Type: typeNumber, Help: "Empty means no bound."},
		{Name: "max_rollouts", Label: "Most rollouts", Type: typeNumber, Help: "Empty means no bound."},
	}},
}

// fixedOptions returns an options function that always offers values.
func fixedOptions(values ...string) func(kqdocument.Document, kqoperator.Operator) []string {
	return func(kqdocument.Document, kqoperator.Operator) []string { return values }
}

// teamOptions offers members only their own team.
func teamOptions(d kqdocument.Document, o kqoperator.Operator) []string {
	if o.Role == kqoperator.Member {
		return []string{string(o.Team)}
	}
	return sortedNames(d.Teams, func(t kqdocument.Team) string { return string(t.Name) })
}

func serviceOptions(d kqdocument.Document, _ kqoperator.Operator) []string {
	return sortedNames(d.Services, func(s kqdocument.Service) string { return string(s.Name) })
}

func policyOptions(d kqdocument.Document, _ kqoperator.Operator) []string {
	return sortedNames(d.Policies, func(p kqdocument.Policy) string { return string(p.Name) })
}

func sortedNames[T any](items []T, name func(T) string) []string {
	list := make([]string, 0, len(items))
	for _, i := range items {
		list = append(list, name(i))
	}
	slices.Sort(list)
	return list
}

// value parses the submitted text into the field's JSON value; ok is false if
// the text is empty or invalid.
func (f field) value(text string) (value any, ok bool, err error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return nil, false, nil
	}
	switch f.Type {
	case typeNumber:
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, false, fmt.Errorf("must be a whole number: %w", errInvalidValue)
		}
		return n, true, nil
	case typeShare:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, false, fmt.Errorf("must be a number: %w", errInvalidValue)
		}
		return n, true, nil
	case typeTime:
		return parseTime(text)
	case typeCheck:
		return true, true, nil
	case typeHeaders:
		return parseHeaders(text)
	case typeLines:
		return strings.Fields(text), true, nil
	default:
		return text, true, nil
	}
}

// format returns a JSON value as text that value parses.
func (f field) format(value any) string {
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
	case []any:
		lines := make([]string, 0, len(v))
		for _, item := range v {
			lines = append(lines, fmt.Sprint(item))
		}
		return strings.Join(lines, "\n")
	case map[string]any:
		var lines []string
		for name, text := range v {
			lines = append(lines, fmt.Sprintf("%s: %v", name, text))
		}
		slices.Sort(lines)
		return strings.Join(lines, "\n")
	case string:
		if at, err := time.Parse(time.RFC3339, v); err == nil && f.Type == typeTime {
			return at.UTC().Format(timeSecondsLayout)
		}
		return v
	default:
		return fmt.Sprint(v)
	}
}

func parseTime(text string) (any, bool, error) {
	for _, layout := range []string{timeSecondsLayout, timeLayout, time.RFC3339} {
		if at, err := time.Parse(layout, text); err == nil {
			return at.UTC(), true, nil
		}
	}
	return nil, false, fmt.Errorf("must be a time such as 2026-12-24T18:00: %w", errInvalidValue)
}

func parseHeaders(text string) (any, bool, error) {
	headers := make(map[string]string)
	for _, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, false, fmt.Errorf("must have a colon in each line: %w", errInvalidValue)
		}
		headers[strings.TrimSpace(name)] = strings.TrimSpace(value)
	}
	return headers, true, nil
}

// values returns an item's field values as text for the form's inputs.
func (f form) values(item any) (map[string]string, error) {
	data, err := json.Marshal(item)
	if err != nil {
		return nil, fmt.Errorf("encode item: %w", err)
	}
	var all map[string]any
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, fmt.Errorf("decode item: %w", err)
	}
	values := make(map[string]string, len(f.Fields))
	for _, field := range f.Fields {
		values[field.Name] = field.format(all[field.Name])
	}
	return values, nil
}

// parseItem converts the submitted values into an item's JSON. It also returns
// the error texts of invalid fields and of required fields without a value, by field
// name.
func (f form) parseItem(values map[string]string) (json.RawMessage, map[string]string) {
	all, fieldErrors := make(map[string]any), make(map[string]string)
	for _, field := range f.Fields {
		value, ok, err := field.value(values[field.Name])
		switch {
		case err != nil:
			fieldErrors[field.Name] = strings.TrimSuffix(err.Error(), ": "+errInvalidValue.Error())
		case !ok && field.Required:
			fieldErrors[field.Name] = "must be filled in"
		case ok:
			all[field.Name] = value
		}
	}
	data, err := json.Marshal(all)
	if err != nil {
		fieldErrors["name"] = err.Error()
	}
	return data, fieldErrors
}
