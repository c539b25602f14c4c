package configcheck

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/jsontree"
	"github.com/redwingthread/redwingthread/settings"
)

// Limits bounds the texts that are read.
var Limits = jsontree.Limits{MaxBytes: 4 << 20, MaxDepth: 32}

// DocumentText is the text of a configuration document of the product's own interface.
type DocumentText struct {
	File     string
	Document *config.Document
	// Err is the error of config.DecodeDocument for a document that could be read but is not valid.
	Err error
	// locate returns the position of an item by its path, such as accounts/orders.
	locate func(path string) jsontree.Position
}

// DecodeDocument decodes a document in JSON with package config, like config.DecodeDocument. The error has kind TooLarge or
// BadInput and wraps a jsontree.InputError.
func DecodeDocument(file string, text []byte) (*DocumentText, error) {
	d, err := jsontree.Parse(text, Limits)
	if err != nil {
		return nil, err
	}
	locate := func(path string) jsontree.Position { return d.Position(nodeAt(d.Root, path)) }
	return decodeDocument(file, d, text, func(n *jsontree.Node, _ string) jsontree.Position { return d.Position(n) }, locate)
}

// DecodeTOML is like DecodeDocument for a document in TOML whose tables have the names of the JSON fields. Positions have no
// columns other than 1 except in syntax errors, since the TOML library gives no others.
func DecodeTOML(file string, text []byte) (*DocumentText, error) {
	if len(text) > Limits.MaxBytes {
		_, err := jsontree.Parse(text, Limits)
		return nil, err
	}
	lines := jsontree.NewLines(text)
	if offset := tooDeepAt(text, Limits.MaxDepth); offset >= 0 {
		return nil, jsontree.TooLarge(lines.Position(offset), "the text is nested deeper than %d levels", Limits.MaxDepth)
	}
	var parsed map[string]any
	if err := toml.Unmarshal(text, &parsed); err != nil {
		return nil, tomlError(err)
	}
	asJSON, err := json.Marshal(parsed)
	if err != nil {
		return nil, jsontree.BadInput(jsontree.Position{}, "%s", err.Error())
	}
	d, err := jsontree.Parse(asJSON, jsontree.Limits{MaxBytes: 8 * Limits.MaxBytes, MaxDepth: Limits.MaxDepth})
	if err != nil {
		return nil, jsontree.TooLarge(jsontree.Position{},
			"tables and arrays together are nested deeper than %d levels, or the text is too large", Limits.MaxDepth)
	}
	lineOf := settings.KeyLines(string(text))
	locate := func(path string) jsontree.Position {
		line := lineOf(strings.NewReplacer("/", ".", " ", ".").Replace(path))
		if line == 0 {
			return jsontree.Position{}
		}
		return jsontree.Position{Line: line, Column: 1, Offset: lines[line-1]}
	}
	return decodeDocument(file, d, asJSON, func(_ *jsontree.Node, path string) jsontree.Position { return locate(path) }, locate)
}

// tomlError returns the error for a text that is not valid TOML.
func tomlError(err error) error {
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		return jsontree.BadInput(jsontree.Position{}, "%s", err.Error())
	}
	reason := parse.Message
	if reason == "" {
		reason = parse.Error()
	}
	return jsontree.BadInput(jsontree.Position{Line: parse.Position.Line, Column: parse.Position.Col, Offset: parse.Position.Start},
		"%s", reason)
}

// decodeDocument decodes the parsed text with package config. position returns the position of a value and its path.
func decodeDocument(file string, d *jsontree.Document, text []byte, position func(*jsontree.Node, string) jsontree.Position,
	locate func(string) jsontree.Position) (*DocumentText, error) {
	for _, issue := range jsontree.Issues(d.Root, reflect.TypeFor[config.Document]()) {
		if issue.Problem != jsontree.OtherCase {
			n := &jsontree.Node{Offset: issue.Offset}
			return nil, jsontree.BadInput(position(n, issue.Path), "the field %s is %s", issue.Path, issue.Problem)
		}
	}
	document, err := config.DecodeDocument(text)
	if document != nil {
		return &DocumentText{File: file, Document: document, Err: err, locate: locate}, nil
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		path, n := d.At(int(wrongType.Offset) - 1)
		return nil, jsontree.BadInput(position(n, path), "the %s does not fit %s, whose type is %s", wrongType.Value, path, wrongType.Type)
	}
	return nil, jsontree.BadInput(jsontree.Position{}, "%s", err.Error())
}

// nodeAt returns the value at a path such as services/scan/endpoints/e-1, or the deepest one on the way to it.
func nodeAt(n *jsontree.Node, path string) *jsontree.Node {
	path, _, _ = strings.Cut(path, " ")
	for _, name := range strings.Split(path, "/") {
		next := n.Member(name)
		if next == nil {
			return n
		}
		n = next
	}
	return n
}

// tooDeepAt returns the offset at which a TOML text is nested deeper than limit, by brackets or by dotted keys; -1 if it is not.
// The TOML library has no such limit. A line break ends a string that is not closed, as TOML allows no other for basic strings.
func tooDeepAt(text []byte, limit int) int {
	depth, dots := 0, 0
	var quote string
	for i := 0; i < len(text); i++ {
		rest := text[i:]
		switch c := text[i]; {
		case quote != "":
			switch {
			case c == '\\' && quote[0] == '"':
				i++
			case strings.HasPrefix(string(rest[:min(3, len(rest))]), quote):
				i += len(quote) - 1
				// Two more quotes may precede those that close a string of several lines.
				for extra := 0; len(quote) == 3 && extra < 2 && i+1 < len(text) && text[i+1] == c; extra++ {
					i++
				}
				quote = ""
			case c == '\n' && len(quote) == 1:
				quote = ""
			}
		case c == '"' || c == '\'':
			quote = string(c)
			if triple := strings.Repeat(quote, 3); string(rest[:min(3, len(rest))]) == triple {
				quote = triple
				i += 2
			}
		case c == '#':
			for i+1 < len(text) && text[i+1] != '\n' {
				i++
			}
		case c == '[' || c == '{':
			dots = 0
			if depth++; depth > limit {
				return i
			}
		case c == ']' || c == '}':
			dots = 0
			depth = max(0, depth-1)
		case c == '\n' || c == ',' || c == '=':
			dots = 0
		case c == '.':
			if dots++; dots > limit {
				return i
			}
		}
	}
	return -1
}
