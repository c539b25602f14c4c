// Package jsontree parses JSON into a tree of values with their positions in the text, and reports the members that
// encoding/json ignores when it decodes the text. It serves checks whose messages name a line and a column.
package jsontree

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/redwingthread/redwingthread/errkind"
)

// Position is a place in a text. Line and Column start at 1 and Offset at 0; Column and Offset count bytes.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
	Offset int `json:"offset"`
}

// Known reports whether p is a place; the zero Position is none.
func (p Position) Known() bool { return p.Line > 0 }

// String returns line and column.
func (p Position) String() string { return fmt.Sprintf("line %d, column %d", p.Line, p.Column) }

// InputError is the reason why a text cannot be used, with its position. It is wrapped in an errkind error.
type InputError struct {
	Position Position
	Reason   string
}

// Error returns the position, if it is known, and the reason.
func (e *InputError) Error() string {
	if !e.Position.Known() {
		return e.Reason
	}
	return e.Position.String() + ": " + e.Reason
}

// Limits bounds the texts that Parse accepts.
type Limits struct {
	// MaxBytes is the largest size of the text, MaxDepth the largest nesting of arrays and objects.
	MaxBytes, MaxDepth int
}

// Kind is the type of a value.
type Kind string

// The kinds of values.
const (
	Object Kind = "object"
	Array  Kind = "array"
	String Kind = "string"
	Number Kind = "number"
	Bool   Kind = "boolean"
	Null   Kind = "null"
)

// Node is one value.
type Node struct {
	Kind   Kind
	Offset int
	// Text is the content of a string or the literal of a number.
	Text string
	// Members are those of an object, in the order of the text and with repetitions.
	Members []Member
	// Elements are those of an array.
	Elements []*Node
}

// Member is one member of an object.
type Member struct {
	Name   string
	Offset int
	Value  *Node
}

// Member returns the value of the member that encoding/json decodes into a field of this name: the last one whose name is
// equal except for the case of letters; nil if there is none or n is not an object.
func (n *Node) Member(name string) *Node {
	if n == nil {
		return nil
	}
	for i := len(n.Members) - 1; i >= 0; i-- {
		if strings.EqualFold(n.Members[i].Name, name) {
			return n.Members[i].Value
		}
	}
	return nil
}

// Element returns the element at the index; nil if there is none or n is not an array.
func (n *Node) Element(index int) *Node {
	if n == nil || index < 0 || index >= len(n.Elements) {
		return nil
	}
	return n.Elements[index]
}

// Document is a parsed text.
type Document struct {
	Root *Node
	// Lines converts offsets in the text to positions.
	Lines Lines
}

// Position returns the position of n; the zero Position if n is nil.
func (d *Document) Position(n *Node) Position {
	if n == nil {
		return Position{}
	}
	return d.Lines.Position(n.Offset)
}

// Lines holds the offsets at which the lines of a text start.
type Lines []int

// NewLines returns the lines of a text.
func NewLines(text []byte) Lines {
	lines := Lines{0}
	for i, c := range text {
		if c == '\n' {
			lines = append(lines, i+1)
		}
	}
	return lines
}

// Position returns the position of an offset.
func (l Lines) Position(offset int) Position {
	line := sort.Search(len(l), func(i int) bool { return l[i] > offset })
	return Position{Line: line, Column: offset - l[line-1] + 1, Offset: offset}
}

// Parse parses a text that holds one JSON value. The error has kind TooLarge or BadInput and wraps an InputError.
func Parse(text []byte, limits Limits) (*Document, error) {
	if len(text) > limits.MaxBytes {
		return nil, TooLarge(Position{}, "the text has %d bytes, at most %d are read", len(text), limits.MaxBytes)
	}
	d := &Document{Lines: NewLines(text)}
	if offset := tooDeepAt(text, limits.MaxDepth); offset >= 0 {
		return nil, TooLarge(d.Lines.Position(offset), "the text is nested deeper than %d levels", limits.MaxDepth)
	}
	if !utf8.Valid(text) {
		return nil, BadInput(d.Lines.Position(invalidUTF8At(text)), "the text is not valid UTF-8")
	}
	var raw json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, d.DecodeError(err)
	}
	p := parser{text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	p.decoder.UseNumber()
	root, err := p.value()
	if err != nil {
		return nil, d.DecodeError(err)
	}
	d.Root = root
	return d, nil
}

// BadInput returns an error of kind BadInput that wraps an InputError.
func BadInput(position Position, format string, args ...any) error {
	return errkind.Wrap(&InputError{Position: position, Reason: fmt.Sprintf(format, args...)}, errkind.BadInput,
		"correct the text at this position", "the input cannot be decoded")
}

// TooLarge returns an error of kind TooLarge that wraps an InputError.
func TooLarge(position Position, format string, args ...any) error {
	return errkind.Wrap(&InputError{Position: position, Reason: fmt.Sprintf(format, args...)}, errkind.TooLarge,
		"check that the text is the one that is meant", "the input is too large")
}

// DecodeError returns the error of kind BadInput for an error of encoding/json that concerns the text.
func (d *Document) DecodeError(err error) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		// The offset is that after the byte at fault, or the end of a text that is not complete.
		offset := int(syntax.Offset)
		if !strings.HasPrefix(syntax.Error(), "unexpected end") {
			offset = max(0, offset-1)
		}
		return BadInput(d.Lines.Position(offset), "%s", syntax.Error())
	case errors.As(err, &wrongType):
		// The offset is that after the value, or after its first byte.
		path, n := d.At(int(wrongType.Offset) - 1)
		return BadInput(d.Position(n), "the %s does not fit %s, whose type is %s", wrongType.Value, orValue(path), wrongType.Type)
	}
	return BadInput(Position{}, "%s", err.Error())
}

func orValue(path string) string {
	if path == "" {
		return "the text"
	}
	return path
}

// At returns the innermost value that starts at or before the offset, and its path, such as routes[3].host.
func (d *Document) At(offset int) (string, *Node) {
	path, n := "", d.Root
	for n != nil {
		members := sort.Search(len(n.Members), func(i int) bool { return n.Members[i].Value.Offset > offset })
		elements := sort.Search(len(n.Elements), func(i int) bool { return n.Elements[i].Offset > offset })
		switch {
		case members > 0:
			m := n.Members[members-1]
			path, n = strings.TrimPrefix(path+"."+m.Name, "."), m.Value
		case elements > 0:
			path, n = fmt.Sprintf("%s[%d]", path, elements-1), n.Elements[elements-1]
		default:
			return path, n
		}
	}
	return path, n
}

// tooDeepAt returns the offset of the first bracket that is nested deeper than limit; -1 if there is none. It scans the text
// before anything recursive does.
func tooDeepAt(text []byte, limit int) int {
	depth := 0
	inString := false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			if depth++; depth > limit {
				return i
			}
		case c == ']' || c == '}':
			depth--
		}
	}
	return -1
}

func invalidUTF8At(text []byte) int {
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return len(text)
}

// parser builds the tree from the tokens of a valid text.
type parser struct {
	text    []byte
	decoder *json.Decoder
}

// next returns the next token and the offset at which it starts.
func (p *parser) next() (json.Token, int, error) {
	start := int(p.decoder.InputOffset())
	for start < len(p.text) && bytes.IndexByte([]byte(" \t\r\n,:"), p.text[start]) >= 0 {
		start++
	}
	token, err := p.decoder.Token()
	return token, start, err
}

// value parses the next value. Its recursion is bounded by the check of the depth in Parse.
func (p *parser) value() (*Node, error) {
	token, offset, err := p.next()
	if err != nil {
		return nil, err
	}
	n := &Node{Offset: offset}
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			return n, p.members(n)
		}
		return n, p.elements(n)
	case string:
		n.Kind, n.Text = String, t
	case json.Number:
		n.Kind, n.Text = Number, t.String()
	case bool:
		n.Kind = Bool
	default:
		n.Kind = Null
	}
	return n, nil
}

func (p *parser) members(n *Node) error {
	n.Kind = Object
	for p.decoder.More() {
		token, offset, err := p.next()
		if err != nil {
			return err
		}
		value, err := p.value()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		n.Members = append(n.Members, Member{Name: name, Offset: offset, Value: value})
	}
	_, _, err := p.next()
	return err
}

func (p *parser) elements(n *Node) error {
	n.Kind = Array
	for p.decoder.More() {
		value, err := p.value()
		if err != nil {
			return err
		}
		n.Elements = append(n.Elements, value)
	}
	_, _, err := p.next()
	return err
}
