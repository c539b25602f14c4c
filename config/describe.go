package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Describe returns one line for each field that ops change in doc, ordered by op and field, for an operator to review.
// An op that adds or removes an item, or changes none of its fields, gets one line:
//
//	accounts/orders weight: 1 -> 2
//	workers/w-9: added, address "10.0.0.9:9000", ...
//	drains/vm-3: removed
//	drains/vm-4: unchanged
//
// Token digests are shortened to their first 8 digits. For an op that cannot be applied the line gives the reason.
func Describe(doc *Document, ops []Op) []string {
	var lines []string
	current := clone(doc)
	for i, op := range ops {
		before := fieldsAt(current, op.Path)
		var faults faultList
		applyOp(&faults, current, i, op)
		if len(faults) > 0 {
			lines = append(lines, fmt.Sprintf("%s %s: not possible: %s", op.Op, op.Path, faults[0].Message))
			continue
		}
		lines = append(lines, describeChange(op.Path, before, fieldsAt(current, op.Path))...)
	}
	return lines
}

// fieldsAt returns the fields of the item at path as decoded JSON values, or nil if the item does not exist.
func fieldsAt(doc *Document, path string) map[string]any {
	parts := strings.Split(path, "/")
	if path == "policy" {
		return jsonFields(doc.Policy)
	}
	if len(parts) == 4 {
		return lookupFields(doc.Services[parts[1]].Endpoints, parts[3])
	}
	if len(parts) != 2 {
		return nil
	}
	switch parts[0] {
	case "failure_domains":
		return lookupFields(doc.FailureDomains, parts[1])
	case "workers":
		return lookupFields(doc.Workers, parts[1])
	case "accounts":
		return lookupFields(doc.Accounts, parts[1])
	case "services":
		return lookupFields(doc.Services, parts[1])
	case "operators":
		return lookupFields(doc.Operators, parts[1])
	case "drains":
		return lookupFields(doc.Drains, parts[1])
	}
	return nil
}

func lookupFields[V any](items map[string]V, name string) map[string]any {
	value, ok := items[name]
	if !ok {
		return nil
	}
	return jsonFields(value)
}

// jsonFields returns the fields of value's JSON form, or nil if value cannot be encoded as a JSON object.
func jsonFields(value any) map[string]any {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	// Numbers are kept as text, since conversion to float64 would round large ones.
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return nil
	}
	return fields
}

// describeChange returns the lines for one op on the item at path. before and after are the fields of the item, nil if it
// does not exist.
func describeChange(path string, before, after map[string]any) []string {
	oldFields, newFields := map[string]string{}, map[string]string{}
	flatten(oldFields, "", before)
	flatten(newFields, "", after)
	switch {
	case before == nil:
		return []string{path + ": added, " + joinFields(newFields)}
	case after == nil:
		return []string{path + ": removed"}
	}
	var lines []string
	for _, field := range unionKeys(oldFields, newFields) {
		if oldFields[field] != newFields[field] {
			lines = append(lines, fmt.Sprintf("%s %s: %s -> %s", path, field, orNone(oldFields[field]), orNone(newFields[field])))
		}
	}
	if len(lines) == 0 {
		return []string{path + ": unchanged"}
	}
	return lines
}

// flatten adds the scalar values in value to into, with nested names joined by dots.
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
		into[prefix] = formatValue(prefix, v)
	}
}

// formatValue formats the scalar value of the field name. It shortens a token digest to 8 digits, which suffice to
// distinguish two digests.
func formatValue(name string, value any) string {
	text, isString := value.(string)
	if isString && strings.HasSuffix(name, "token_digest") && len(text) > 8 {
		return text[:8] + "..."
	}
	if isString {
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
