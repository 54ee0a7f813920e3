package kqreplay

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// firstDifference describes the first difference between want and got, or returns
// "" if there is none. Objects are compared only by the fields in want; a null there
// also matches a missing field. Lists must have equal lengths and are compared item
// by item. An expected number may be a range {"min":..,"max":..}, of which one bound
// suffices.
func firstDifference(path string, want, got any) string {
	switch w := want.(type) {
	case map[string]any:
		if n, ok := got.(float64); ok && isNumberRange(w) {
			return rangeDifference(path, w, n)
		}
		return objectDifference(path, w, got)
	case []any:
		return listDifference(path, w, got)
	default:
		if reflect.DeepEqual(want, got) {
			return ""
		}
		return fmt.Sprintf("%s is %s, want %s", describePath(path), jsonText(got), jsonText(want))
	}
}

func objectDifference(path string, want map[string]any, got any) string {
	object, ok := got.(map[string]any)
	if !ok {
		return fmt.Sprintf("%s is %s, want %s", describePath(path), jsonText(got), jsonText(want))
	}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		value, ok := object[name]
		if !ok && want[name] != nil {
			return fmt.Sprintf("%s is missing, want %s", describePath(path+"."+name), jsonText(want[name]))
		}
		if difference := firstDifference(path+"."+name, want[name], value); difference != "" {
			return difference
		}
	}
	return ""
}

func listDifference(path string, want []any, got any) string {
	list, ok := got.([]any)
	if !ok || len(list) != len(want) {
		return fmt.Sprintf("%s is %s, want %s", describePath(path), jsonText(got), jsonText(want))
	}
	for i := range want {
		if difference := firstDifference(fmt.Sprintf("%s[%d]", path, i), want[i], list[i]); difference != "" {
			return difference
		}
	}
	return ""
}

func rangeDifference(path string, want map[string]any, got float64) string {
	low, hasLow := want["min"].(float64)
	high, hasHigh := want["max"].(float64)
	if hasLow && got < low || hasHigh && got > high {
		return fmt.Sprintf("%s is %s, want %s", describePath(path), jsonText(got), jsonText(want))
	}
	return ""
}

// isNumberRange reports whether an object has only the fields min or max, with
// numbers as values.
func isNumberRange(w map[string]any) bool {
	for name, value := range w {
		if _, ok := value.(float64); !ok || name != "min" && name != "max" {
			return false
		}
	}
	return len(w) > 0
}

func describePath(path string) string {
	if path == "" {
		return "state"
	}
	return "state" + path
}

func jsonText(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(data)
}
