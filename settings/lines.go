package settings

import (
	"fmt"
	"strings"
)

// lineIndex maps each key and table of a TOML text to its line. The TOML library does not expose positions, so the lines
// are found by a scan of the text. Keys inside an inline table are not indexed; lineOf returns the line of the key that
// holds the table.
type lineIndex map[string]int

// indexLines returns the line index of text, which must be valid TOML.
func indexLines(text string) lineIndex {
	index := lineIndex{}
	counts := map[string]int{}
	table := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name, _, _ := strings.Cut(line[2:], "]]")
			name = unquoteKey(name)
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			index.add(name, i+1)
			index.add(table, i+1)
		case strings.HasPrefix(line, "["):
			name, _, _ := strings.Cut(line[1:], "]")
			table = unquoteKey(name)
			index.add(table, i+1)
		case strings.HasPrefix(line, "#"):
		default:
			if name, _, ok := strings.Cut(line, "="); ok {
				index.add(joinKey(table, unquoteKey(name)), i+1)
			}
		}
	}
	return index
}

// KeyLines returns a function that gives the line of a dotted key in a TOML text, or of the nearest enclosing table that has
// one; 0 if there is none. The text must be valid TOML.
func KeyLines(text string) func(key string) int { return indexLines(text).lineOf }

// add sets the line of a key unless it has one already.
func (x lineIndex) add(key string, line int) {
	if _, ok := x[key]; !ok {
		x[key] = line
	}
}

// lineOf returns the line of key, or of the nearest enclosing table or array that has one; 0 if there is none.
func (x lineIndex) lineOf(key string) int {
	for key != "" {
		if line, ok := x[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 0
}

// unquoteKey removes surrounding spaces and quotes from the parts of a dotted key.
func unquoteKey(name string) string {
	parts := strings.Split(name, ".")
	for i, part := range parts {
		parts[i] = strings.Trim(strings.TrimSpace(part), `"'`)
	}
	return strings.Join(parts, ".")
}
