package settings

import (
	"fmt"
	"strings"
)

// lineIndex holds the line of each key and table of a TOML text. The library keeps positions to itself, so the lines
// are found by their form; a key inside an inline table has the line of the key that holds the table.
type lineIndex map[string]int

// locate indexes text, which must be valid TOML.
func locate(text string) lineIndex {
	index := lineIndex{}
	counts := map[string]int{}
	table := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name, _, _ := strings.Cut(line[2:], "]]")
			name = plain(name)
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			index.add(name, i+1)
			index.add(table, i+1)
		case strings.HasPrefix(line, "["):
			name, _, _ := strings.Cut(line[1:], "]")
			table = plain(name)
			index.add(table, i+1)
		case strings.HasPrefix(line, "#"):
		default:
			if name, _, ok := strings.Cut(line, "="); ok {
				index.add(join(table, plain(name)), i+1)
			}
		}
	}
	return index
}

// add keeps the first line of a key.
func (x lineIndex) add(key string, line int) {
	if _, ok := x[key]; !ok {
		x[key] = line
	}
}

// of returns the line of key, or of the nearest table that holds it; 0 if there is none.
func (x lineIndex) of(key string) int {
	for key != "" {
		if line, ok := x[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 0
}

// plain removes spaces and quotes from the parts of a dotted key.
func plain(name string) string {
	parts := strings.Split(name, ".")
	for i, part := range parts {
		parts[i] = strings.Trim(strings.TrimSpace(part), `"'`)
	}
	return strings.Join(parts, ".")
}
