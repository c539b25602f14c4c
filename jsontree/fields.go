package jsontree

import (
	"fmt"
	"reflect"
	"strings"
)

// Problem is the way in which the decoder does not use a member as it is written.
type Problem string

// The problems of members.
const (
	// Unknown members have no field and are ignored.
	Unknown Problem = "unknown"
	// OtherCase members are used although their names differ from the field's in the case of letters.
	OtherCase Problem = "other case"
	// Repeated members replace an earlier one of the same name, or are merged with it.
	Repeated Problem = "repeated"
)

// Issue is a problem of one member, or of several with the same pattern.
type Issue struct {
	Problem Problem
	// Path is the path of the first member, such as routes[3].host; Pattern is the path without indexes and map keys.
	Path, Pattern string
	// Field is the name of the field that an OtherCase member is decoded into.
	Field  string
	Offset int
	// Count is the number of members with this problem and pattern.
	Count int
}

// Issues returns the problems that arise when n is decoded into a value of type t by encoding/json, one for each pattern, in
// the order of the text.
func Issues(n *Node, t reflect.Type) []Issue {
	w := walker{byPattern: map[string]int{}, fields: map[reflect.Type]map[string]reflect.Type{}}
	w.walk(n, t, "", "")
	return w.issues
}

type walker struct {
	issues []Issue
	// byPattern maps problem and pattern to the index in issues.
	byPattern map[string]int
	// fields holds the fields of the struct types that were met.
	fields map[reflect.Type]map[string]reflect.Type
}

func (w *walker) add(issue Issue) {
	key := string(issue.Problem) + " " + issue.Pattern
	if i, ok := w.byPattern[key]; ok {
		w.issues[i].Count++
		return
	}
	issue.Count = 1
	w.byPattern[key] = len(w.issues)
	w.issues = append(w.issues, issue)
}

func (w *walker) walk(n *Node, t reflect.Type, path, pattern string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case n.Kind == Array && t.Kind() == reflect.Slice:
		for i, element := range n.Elements {
			w.walk(element, t.Elem(), fmt.Sprintf("%s[%d]", path, i), pattern+"[]")
		}
	case n.Kind == Object && t.Kind() == reflect.Map:
		w.object(n, path, pattern+".*", func(Member) (reflect.Type, string) { return t.Elem(), "" })
	case n.Kind == Object && t.Kind() == reflect.Struct:
		fields, ok := w.fields[t]
		if !ok {
			fields = fieldsOf(t)
			w.fields[t] = fields
		}
		w.object(n, path, pattern, func(m Member) (reflect.Type, string) {
			if field, ok := fields[m.Name]; ok {
				return field, m.Name
			}
			for name, field := range fields {
				if strings.EqualFold(name, m.Name) {
					return field, name
				}
			}
			return nil, ""
		})
	}
}

// object reports the members of n. fieldOf returns the type of a member's field and its name, a nil type if there is none.
func (w *walker) object(n *Node, path, pattern string, fieldOf func(Member) (reflect.Type, string)) {
	seen := make(map[string]bool, len(n.Members))
	for _, m := range n.Members {
		memberPath := strings.TrimPrefix(path+"."+m.Name, ".")
		memberPattern := pattern
		t, field := fieldOf(m)
		if t == nil || field != "" {
			memberPattern = strings.TrimPrefix(pattern+"."+m.Name, ".")
		}
		issue := Issue{Path: memberPath, Pattern: memberPattern, Field: field, Offset: m.Offset}
		name := m.Name
		if field != "" {
			name = field
		}
		switch {
		case t == nil:
			issue.Problem = Unknown
			w.add(issue)
			continue
		case seen[name]:
			issue.Problem = Repeated
			w.add(issue)
		case field != "" && field != m.Name:
			issue.Problem = OtherCase
			w.add(issue)
		}
		seen[name] = true
		w.walk(m.Value, t, memberPath, memberPattern)
	}
}

// fieldsOf returns the types of the fields of a struct by their JSON names, with those of embedded structs that it does not
// have itself.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		if name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	for i := range t.NumField() {
		if !t.Field(i).Anonymous {
			continue
		}
		for name, inner := range fieldsOf(t.Field(i).Type) {
			if _, ok := fields[name]; !ok {
				fields[name] = inner
			}
		}
	}
	return fields
}
