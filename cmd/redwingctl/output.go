package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/redwingthread/redwingthread/operatorclient"
)

// print writes value as JSON, or calls table to write it for readers.
func (c *call) print(value any, table func()) error {
	if c.options.output != outputJSON {
		table()
		return nil
	}
	encoder := json.NewEncoder(c.stdout)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// columns writes rows under a header, in aligned columns.
func (c *call) columns(header []string, rows [][]string) {
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// pairs writes one "name: value" line for each pair; pairs without a value are left out.
func (c *call) pairs(pairs ...[2]string) {
	for _, p := range pairs {
		if p[1] != "" {
			fmt.Fprintf(c.stdout, "%s: %s\n", p[0], p[1])
		}
	}
}

// decision writes what became of a patch.
func (c *call) decision(d operatorclient.Decision) error {
	return c.print(d, func() {
		c.pairs([2]string{"outcome", string(d.Outcome)}, [2]string{"version", fmt.Sprint(d.Version)}, [2]string{"patch", d.ID})
		if d.Error != nil {
			c.pairs([2]string{"refusal", d.Error.Error()})
		}
	})
}

// lines writes lines below a heading.
func (c *call) lines(lines []string) {
	for _, line := range lines {
		fmt.Fprintln(c.stdout, " ", line)
	}
}
