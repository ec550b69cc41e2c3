package policy

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"wigeonspring.example/wigeonspring/internal/state/strict"
)

// Change is one key whose value differs between two documents.
type Change struct {
	// Key is the changed key. It contains the name of a route instead of its index.
	Key string `json:"key"`
	// Old is empty if the key was added.
	Old string `json:"old,omitempty"`
	// New is empty if the key was removed.
	New string `json:"new,omitempty"`
}

// Diff returns the changed keys in alphabetical order. A nil document has no keys.
func Diff(old, new *Document) []Change {
	before, after := flatten(old), flatten(new)
	keys := map[string]bool{}
	for k := range before {
		keys[k] = true
	}
	for k := range after {
		keys[k] = true
	}
	var changes []Change
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		if before[k] != after[k] {
			changes = append(changes, Change{Key: k, Old: before[k], New: after[k]})
		}
	}
	return changes
}

func flatten(d *Document) map[string]string {
	flat := map[string]string{}
	if d != nil {
		flattenValue(flat, "", reflect.ValueOf(d).Elem())
	}
	return flat
}

func flattenValue(flat map[string]string, key string, v reflect.Value) {
	switch x := v.Interface().(type) {
	case Duration:
		text, _ := x.MarshalText()
		flat[key] = string(text)
	case []Route:
		for i := range x {
			flattenValue(flat, fmt.Sprintf("%s[%q]", key, x[i].Name), v.Index(i))
		}
	case []string:
		if len(x) > 0 {
			sorted := slices.Sorted(slices.Values(x))
			flat[key] = strings.Join(sorted, ", ")
		}
	case map[string]string:
		for name, value := range x {
			flat[strict.JoinKey(key, name)] = value
		}
	default:
		if v.Kind() != reflect.Struct {
			flat[key] = fmt.Sprint(x)
			return
		}
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ",")
			if name == "-" {
				continue // Not a key of the document.
			}
			flattenValue(flat, strict.JoinKey(key, name), v.Field(i))
		}
	}
}
