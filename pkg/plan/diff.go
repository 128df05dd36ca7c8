package plan

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// Operation is the kind of one difference.
type Operation string

const (
	Added   Operation = "added"
	Removed Operation = "removed"
	Changed Operation = "changed"
)

// Difference is one field that differs between two documents.
type Difference struct {
	// Operation is added, removed or changed.
	Operation Operation
	// Field is the path. List members are identified by name or ID, as in
	// "groups[main].policy".
	Field string
	// Old and New are the values as JSON; empty when absent.
	Old, New string
}

// String formats the difference as one line, such as "~ field: old -> new".
func (d Difference) String() string {
	switch d.Operation {
	case Added:
		return "+ " + d.Field + ": " + d.New
	case Removed:
		return "- " + d.Field + ": " + d.Old
	default:
		return "~ " + d.Field + ": " + d.Old + " -> " + d.New
	}
}

// Diff returns the fields that differ, ordered by path. Either document may be nil.
func Diff(before, after *config.Service) []Difference {
	old, current := flatten(before), flatten(after)
	all := maps.Clone(old)
	maps.Copy(all, current)
	var out []Difference
	for _, field := range slices.Sorted(maps.Keys(all)) {
		a, inOld := old[field]
		b, inNew := current[field]
		switch {
		case !inOld:
			out = append(out, Difference{Added, field, "", b})
		case !inNew:
			out = append(out, Difference{Removed, field, a, ""})
		case a != b:
			out = append(out, Difference{Changed, field, a, b})
		}
	}
	return out
}

// flatten maps the path of each leaf value to its JSON encoding.
func flatten(s *config.Service) map[string]string {
	out := make(map[string]string)
	if s == nil {
		return out
	}
	b, err := json.Marshal(s)
	if err != nil {
		return out
	}
	var tree map[string]any
	if err := json.Unmarshal(b, &tree); err != nil {
		return out
	}
	flattenObject(out, "", tree)
	if names := ruleNames(s); len(names) > 1 {
		out["rules"] = compact(names)
	}
	return out
}

func flattenObject(out map[string]string, prefix string, object map[string]any) {
	for k, v := range object {
		path := k
		if prefix != "" {
			path = prefix + "." + k
		}
		flattenValue(out, path, v)
	}
}

func flattenValue(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		flattenObject(out, path, v)
	case []any:
		flattenList(out, path, v)
	case nil:
	default:
		out[path] = compact(v)
	}
}

// flattenList flattens a list whose members have a name or an ID. Other lists are
// leaves.
func flattenList(out map[string]string, path string, list []any) {
	for _, m := range list {
		object, ok := m.(map[string]any)
		if !ok {
			out[path] = compact(list)
			return
		}
		name := object["name"]
		if name == nil {
			name = object["id"]
		}
		flattenObject(out, fmt.Sprintf("%s[%v]", path, name), object)
	}
}

func compact(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(b)
}

func ruleNames(s *config.Service) []string {
	var names []string
	for i := range s.Rules {
		names = append(names, s.Rules[i].Name)
	}
	return names
}
