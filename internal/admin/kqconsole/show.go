package kqconsole

import (
	"encoding/json"
	"fmt"
	"html/template"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

// keyIDLength is the length of a key's id in hex digits.
const keyIDLength = 16

type (
	// difference lists the changed fields of one item.
	difference struct {
		Kind   kqdocument.ChangeKind
		Item   string
		Fields []fieldChange
	}

	// fieldChange is one changed field with both values as text.
	fieldChange struct {
		Name, Before, After string
	}

	// row is one item in a list page.
	row struct {
		Name  string
		Cells []cell
	}

	cell struct{ Label, Value string }

	// tab is one entry of the navigation.
	tab struct {
		Href, Text string
		Here       bool
	}
)

// omittedInLists names the fields that list pages omit to limit the table width.
var omittedInLists = []string{"headers", "refusal_means_not_run", "idempotent", "timeout_ms", "cancelled", "allow_anonymous"}

var functions = template.FuncMap{
	"clock": func(t time.Time) string {
		if t.IsZero() {
			return "–"
		}
		return t.UTC().Format("2006-01-02 15:04:05 UTC")
	},
	"hour":    func(t time.Time) string { return t.UTC().Format("15:04:05") },
	"percent": func(f float64) string { return fmt.Sprintf("%.1f %%", f*100) },
	"seconds": func(ms int64) string { return (time.Duration(ms) * time.Millisecond).Truncate(time.Second).String() },
	"title":   title,
	"tab": func(p page, name, href, text string) tab {
		return tab{Href: href, Text: text, Here: p.Active == name}
	},
}

func title(s string) string {
	if s == "" {
		return ""
	}
	return strings.ToUpper(s[:1]) + s[1:]
}

// differences converts changes into the per-field form that pages show.
func differences(changes []kqdocument.Change) []difference {
	list := make([]difference, 0, len(changes))
	for _, c := range changes {
		before, after := fieldTexts(c.Before), fieldTexts(c.After)
		names := maps.Clone(before)
		maps.Copy(names, after)
		d := difference{Kind: c.Kind, Item: c.Item}
		for _, name := range slices.Sorted(maps.Keys(names)) {
			if before[name] != after[name] {
				d.Fields = append(d.Fields, fieldChange{Name: name, Before: before[name], After: after[name]})
			}
		}
		list = append(list, d)
	}
	return list
}

// fieldTexts returns the fields of an item's JSON as text by name.
func fieldTexts(data json.RawMessage) map[string]string {
	all := make(map[string]json.RawMessage)
	if len(data) == 0 || json.Unmarshal(data, &all) != nil {
		return map[string]string{}
	}
	texts := make(map[string]string, len(all))
	for name, value := range all {
		var text string
		if json.Unmarshal(value, &text) != nil {
			text = string(value)
		}
		texts[name] = text
	}
	return texts
}

// newRows converts the items of a form's kind into rows of a list page.
func newRows(f form, items any) ([]row, error) {
	data, err := json.Marshal(items)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", f.Kind, err)
	}
	var list []map[string]any
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("decode %s: %w", f.Kind, err)
	}
	rows := make([]row, 0, len(list))
	for _, item := range list {
		r := row{Name: fmt.Sprint(item["name"])}
		for _, field := range f.Fields {
			if field.Name != "name" && !slices.Contains(omittedInLists, field.Name) {
				value := field.format(item[field.Name])
				if field.Type == typeLines {
					value = shortLines(value)
				}
				r.Cells = append(r.Cells, cell{Label: field.Label, Value: value})
			}
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// shortLines cuts each line to the length of a key's id, by which log lines name it.
func shortLines(text string) string {
	lines := strings.Fields(text)
	for i, line := range lines {
		lines[i] = line[:min(len(line), keyIDLength)]
	}
	return strings.Join(lines, " ")
}
