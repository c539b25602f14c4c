package configcheck

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// WriteText writes the report for people: each finding and change on lines of its own, with a summary at the end.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	for i := range r.Findings {
		f := &r.Findings[i]
		fmt.Fprintf(&b, "%s: %s%s [%s]\n  %s\n  remedy: %s\n", f.Severity, f.place(), f.Entry, f.Rule, f.Reason, f.Remedy)
	}
	if r.Compared {
		fmt.Fprintln(&b, "what callers will notice:")
		for _, c := range r.Changes {
			fmt.Fprintf(&b, "  %s: %s\n", c.Entry, c.Effect)
		}
		if len(r.Changes) == 0 {
			fmt.Fprintln(&b, "  nothing")
		}
	}
	for _, what := range r.NotChecked {
		fmt.Fprintf(&b, "not checked: %s\n", what)
	}
	fmt.Fprintf(&b, "%d errors, %d warnings\n", r.Count(Error), r.Count(Warning))
	_, err := io.WriteString(w, b.String())
	return err
}

// place returns the file and position of a finding in the form of compilers, with a space after it; empty if neither is known.
func (f *Finding) place() string {
	switch {
	case f.File == "":
		return ""
	case f.Position == nil:
		return f.File + ": "
	}
	return fmt.Sprintf("%s:%d:%d: ", f.File, f.Position.Line, f.Position.Column)
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	out := struct {
		Errors   int `json:"errors"`
		Warnings int `json:"warnings"`
		Report
	}{r.Count(Error), r.Count(Warning), *r}
	// Lists are never null, so that readers need no special case.
	out.Findings = append([]Finding{}, out.Findings...)
	out.Changes = append([]Change{}, out.Changes...)
	out.NotChecked = append([]string{}, out.NotChecked...)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
}
