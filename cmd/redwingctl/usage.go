package main

import (
	"flag"
	"fmt"
	"io"
)

// exitCodes documents the exit codes, which package errkind defines.
const exitCodes = `Exit codes:
  0  done
  1  fault of a program
  2  bad input; nothing was changed
  3  token missing, wrong, or not allowed to do this
  4  not found
  5  conflict: the change lost against another one
  6  infeasible: no healthy workers could hold the shape or guarantee
  7  unavailable, overloaded, past its deadline or shutting down; it did not run, retry later
  8  unknown: it may have run; settle it before a retry
`

// programUsage prints the list of commands and the exit codes.
func programUsage(w io.Writer, all []command) {
	fmt.Fprint(w, "redwingctl operates a redwingthread deployment.\n\nUsage: redwingctl COMMAND [flags] [arguments]\n\nCommands:\n")
	for _, c := range all {
		fmt.Fprintf(w, "  %-46s %s\n", c.name+" "+c.arguments, c.summary)
	}
	fmt.Fprintf(w, "\nRun redwingctl COMMAND -h for flags and examples.\n\n%s", exitCodes)
}

// commandUsage prints the flags, examples and exit codes of one command.
func commandUsage(w io.Writer, c command, f *flag.FlagSet) {
	fmt.Fprintf(w, "%s.\n\nUsage: redwingctl %s [flags] %s\n\nExamples:\n", c.summary, c.name, c.arguments)
	for _, example := range c.examples {
		fmt.Fprintln(w, "  redwingctl", example)
	}
	fmt.Fprint(w, "\nFlags:\n")
	f.SetOutput(w)
	f.PrintDefaults()
	fmt.Fprint(w, "\n", exitCodes)
}
