package kqreplay

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// differ tells the first place at which seen is not what want states, or "".
// Objects are compared by the fields that want names, lists item by item; a
// number may be wanted as {"min":..,"max":..}.
func differ(path string, want, seen any) string {
	switch w := want.(type) {
	case map[string]any:
		if n, ok := seen.(float64); ok && isRange(w) {
			return differRange(path, w, n)
		}
		return differObject(path, w, seen)
	case []any:
		return differList(path, w, seen)
	default:
		if reflect.DeepEqual(want, seen) {
			return ""
		}
		return fmt.Sprintf("%s is %s, want %s", place(path), text(seen), text(want))
	}
}

func differObject(path string, want map[string]any, seen any) string {
	object, ok := seen.(map[string]any)
	if !ok {
		return fmt.Sprintf("%s is %s, want %s", place(path), text(seen), text(want))
	}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		value, ok := object[name]
		if !ok && want[name] != nil {
			return fmt.Sprintf("%s is missing, want %s", place(path+"."+name), text(want[name]))
		}
		if difference := differ(path+"."+name, want[name], value); difference != "" {
			return difference
		}
	}
	return ""
}

func differList(path string, want []any, seen any) string {
	list, ok := seen.([]any)
	if !ok || len(list) != len(want) {
		return fmt.Sprintf("%s is %s, want %s", place(path), text(seen), text(want))
	}
	for i := range want {
		if difference := differ(fmt.Sprintf("%s[%d]", path, i), want[i], list[i]); difference != "" {
			return difference
		}
	}
	return ""
}

func differRange(path string, want map[string]any, seen float64) string {
	low, hasLow := want["min"].(float64)
	high, hasHigh := want["max"].(float64)
	if hasLow && seen < low || hasHigh && seen > high {
		return fmt.Sprintf("%s is %s, want %s", place(path), text(seen), text(want))
	}
	return ""
}

// isRange reports whether an object holds nothing but min or max, as numbers.
func isRange(w map[string]any) bool {
	for name, value := range w {
		if _, ok := value.(float64); !ok || name != "min" && name != "max" {
			return false
		}
	}
	return len(w) > 0
}

func place(path string) string {
	if path == "" {
		return "state"
	}
	return "state" + path
}

func text(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(data)
}
