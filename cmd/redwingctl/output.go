package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/redwingthread/redwingthread/operatorclient"
)

// print writes value as JSON if that is the output format. Otherwise it calls printText, which writes it as text.
func (inv *invocation) print(value any, printText func()) error {
	if inv.options.output != outputJSON {
		printText()
		return nil
	}
	encoder := json.NewEncoder(inv.stdout)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// columns writes a header and rows in aligned columns.
func (inv *invocation) columns(header []string, rows [][]string) {
	w := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// fields writes one "name: value" line for each field, a pair of name and value. Fields with an empty value are left
// out.
func (inv *invocation) fields(fields ...[2]string) {
	for _, field := range fields {
		if field[1] != "" {
			fmt.Fprintf(inv.stdout, "%s: %s\n", field[0], field[1])
		}
	}
}

// decision writes the decision about a patch, in the output format.
func (inv *invocation) decision(d operatorclient.Decision) error {
	return inv.print(d, func() {
		inv.fields([2]string{"outcome", string(d.Outcome)}, [2]string{"version", fmt.Sprint(d.Version)}, [2]string{"patch", d.ID})
		if d.Error != nil {
			inv.fields([2]string{"refusal", d.Error.Error()})
		}
	})
}

// lines writes lines, indented to stand below a heading.
func (inv *invocation) lines(lines []string) {
	for _, line := range lines {
		fmt.Fprintln(inv.stdout, " ", line)
	}
}
