package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Describe returns one line for each field that ops change in doc, ordered by op and field, for review:
//
//	accounts/orders weight: 1 -> 2
//	workers/w-9: added, address "10.0.0.9:9000", ...
//	drains/vm-3: removed
//
// Token digests are shown by their first digits only. Ops that cannot be applied are described as they stand.
func Describe(doc *Document, ops []Op) []string {
	var lines []string
	current := clone(doc)
	for i, op := range ops {
		before := item(current, op.Path)
		var faults faultList
		applyOp(&faults, current, i, op)
		if len(faults) > 0 {
			lines = append(lines, fmt.Sprintf("%s %s: not possible: %s", op.Op, op.Path, faults[0].Message))
			continue
		}
		lines = append(lines, describeChange(op.Path, before, item(current, op.Path))...)
	}
	return lines
}

// item returns the item at path as a tree of JSON values, nil if there is none.
func item(doc *Document, path string) map[string]any {
	parts := strings.Split(path, "/")
	if path == "policy" {
		return tree(doc.Policy)
	}
	if len(parts) == 4 {
		return lookup(doc.Services[parts[1]].Endpoints, parts[3])
	}
	if len(parts) != 2 {
		return nil
	}
	switch parts[0] {
	case "failure_domains":
		return lookup(doc.FailureDomains, parts[1])
	case "workers":
		return lookup(doc.Workers, parts[1])
	case "accounts":
		return lookup(doc.Accounts, parts[1])
	case "services":
		return lookup(doc.Services, parts[1])
	case "operators":
		return lookup(doc.Operators, parts[1])
	case "drains":
		return lookup(doc.Drains, parts[1])
	}
	return nil
}

func lookup[V any](items map[string]V, name string) map[string]any {
	value, ok := items[name]
	if !ok {
		return nil
	}
	return tree(value)
}

func tree(value any) map[string]any {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	// Numbers stay as they are written; as floats, large ones would be rounded.
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return nil
	}
	return fields
}

func describeChange(path string, before, after map[string]any) []string {
	old, now := map[string]string{}, map[string]string{}
	flatten(old, "", before)
	flatten(now, "", after)
	switch {
	case before == nil:
		return []string{path + ": added, " + joinFields(now)}
	case after == nil:
		return []string{path + ": removed"}
	}
	var lines []string
	for _, field := range unionKeys(old, now) {
		if old[field] != now[field] {
			lines = append(lines, fmt.Sprintf("%s %s: %s -> %s", path, field, orNone(old[field]), orNone(now[field])))
		}
	}
	if len(lines) == 0 {
		return []string{path + ": unchanged"}
	}
	return lines
}

// flatten writes the leaves of a tree under dotted names.
func flatten(into map[string]string, prefix string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, field := range v {
			flatten(into, strings.TrimPrefix(prefix+"."+name, "."), field)
		}
	case []any:
		for i, element := range v {
			flatten(into, fmt.Sprintf("%s[%d]", prefix, i), element)
		}
	case nil:
	default:
		into[prefix] = leaf(prefix, v)
	}
}

// leaf shows enough of a token digest to tell two apart.
func leaf(name string, value any) string {
	text, isText := value.(string)
	if isText && strings.HasSuffix(name, "token_digest") && len(text) > 8 {
		return text[:8] + "..."
	}
	if isText {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprint(value)
}

func joinFields(fields map[string]string) string {
	parts := make([]string, 0, len(fields))
	for _, name := range sortedKeys(fields) {
		parts = append(parts, name+" "+fields[name])
	}
	return strings.Join(parts, ", ")
}

func unionKeys(a, b map[string]string) []string {
	keys := append(sortedKeys(a), sortedKeys(b)...)
	slices.Sort(keys)
	return slices.Compact(keys)
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
