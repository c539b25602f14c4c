package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/operatorclient"
)

// command is one subcommand of redwingctl.
type command struct {
	// name has one or two words, such as "account create".
	name string
	// arguments describes the positional arguments, such as "NAME".
	arguments string
	summary   string
	examples  []string
	// setup declares the flags of the command and returns the function that runs it once they are parsed.
	setup func(f *flag.FlagSet) func(inv *invocation) error
}

// environment holds the parts of the process that commands use, so that tests can replace them.
type environment struct {
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	getenv func(string) string
}

// invocation is one run of a command.
type invocation struct {
	*environment
	args    []string
	options options
}

// options holds the flags that are common to all commands.
type options struct {
	address   string
	tokenFile string
	output    string
	timeout   time.Duration
}

// Names of environment variables and output formats.
const (
	addressVariable = "REDWING_ADDR"
	tokenVariable   = "REDWING_TOKEN"

	outputTable = "table"
	outputJSON  = "json"
)

// Defaults of common flags.
const (
	defaultAddress = "127.0.0.1:8081"
	defaultTimeout = 15 * time.Second
)

func (o *options) declare(f *flag.FlagSet, getenv func(string) string) {
	address := getenv(addressVariable)
	if address == "" {
		address = defaultAddress
	}
	f.StringVar(&o.address, "addr", address, "`host:port` of a gateway's operator API ("+addressVariable+")")
	f.StringVar(&o.tokenFile, "token-file", "", "`file` that holds the bearer token (without it, the token is read from "+tokenVariable+")")
	f.StringVar(&o.output, "o", outputTable, "output `format`, table or json")
	f.DurationVar(&o.timeout, "timeout", defaultTimeout, "timeout of one request")
}

// run executes the command that args select and returns the exit code.
func (e *environment) run(all []command, args []string) int {
	if len(args) == 0 {
		programUsage(e.stderr, all)
		return errkind.BadInput.ExitCode()
	}
	if args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		programUsage(e.stdout, all)
		return 0
	}
	selected, rest := findCommand(all, args)
	if selected == nil {
		return e.reportError(outputTable, errkind.New(errkind.BadInput, "run redwingctl -h for the commands", "unknown command %q",
			strings.Join(args[:min(len(args), 2)], " ")))
	}
	var o options
	f := newFlagSet(selected.name)
	o.declare(f, e.getenv)
	execute := selected.setup(f)
	positional, err := parseArgs(f, rest)
	switch {
	case errors.Is(err, flag.ErrHelp):
		commandUsage(e.stdout, *selected, f)
		return 0
	case err != nil:
		return e.reportError(o.output, errkind.Wrap(err, errkind.BadInput, "run redwingctl "+selected.name+" -h", "flags"))
	case o.output != outputTable && o.output != outputJSON:
		return e.reportError(outputTable, errkind.New(errkind.BadInput, "use -o table or -o json", "unknown output format %q", o.output))
	}
	if err := execute(&invocation{environment: e, args: positional, options: o}); err != nil {
		return e.reportError(o.output, err)
	}
	return 0
}

// newFlagSet returns a flag set for a command. Its Parse method returns errors and prints nothing.
func newFlagSet(command string) *flag.FlagSet {
	f := flag.NewFlagSet("redwingctl "+command, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	return f
}

// findCommand returns the command whose name args begin with, and the remaining args. It returns nil if there is none.
func findCommand(all []command, args []string) (*command, []string) {
	for i, c := range all {
		words := strings.Fields(c.name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == c.name {
			return &all[i], args[len(words):]
		}
	}
	return nil, nil
}

// parseArgs parses flags that stand before, between or after positional arguments, and returns the positional arguments.
// Everything after the first "--" is positional.
func parseArgs(f *flag.FlagSet, args []string) ([]string, error) {
	var positional, literal []string
	for i, arg := range args {
		if arg == "--" {
			args, literal = args[:i], args[i+1:]
			break
		}
	}
	for {
		if err := f.Parse(args); err != nil {
			return nil, err
		}
		if f.NArg() == 0 {
			return append(positional, literal...), nil
		}
		positional = append(positional, f.Arg(0))
		args = f.Args()[1:]
	}
}

// reportError prints err to standard error in the output format and returns the exit code of its kind.
func (e *environment) reportError(output string, err error) int {
	typed := errkind.As(err)
	if output == outputJSON {
		line, _ := json.Marshal(typed)
		fmt.Fprintln(e.stderr, string(line))
	} else {
		fmt.Fprintf(e.stderr, "redwingctl: %s\n", typed.Error())
	}
	return typed.Kind.ExitCode()
}

// checkArgs checks that there is one positional argument for each of names.
func (inv *invocation) checkArgs(names ...string) error {
	if len(inv.args) == len(names) {
		return nil
	}
	return errkind.New(errkind.BadInput, "give exactly: "+strings.Join(names, " "), "got %d arguments", len(inv.args))
}

// clientWithArgs checks that there is one positional argument for each of names and returns a client of the operator API.
func (inv *invocation) clientWithArgs(names ...string) (*operatorclient.Client, error) {
	if err := inv.checkArgs(names...); err != nil {
		return nil, err
	}
	return inv.client()
}

// client returns a client of the operator API.
func (inv *invocation) client() (*operatorclient.Client, error) {
	token, err := inv.token()
	if err != nil {
		return nil, err
	}
	return operatorclient.New(inv.options.address, token, inv.options.timeout), nil
}

// token returns the bearer token from the token file, or from the environment if no file is named.
func (inv *invocation) token() (string, error) {
	if inv.options.tokenFile == "" {
		if token := inv.getenv(tokenVariable); token != "" {
			return token, nil
		}
		return "", errkind.New(errkind.Unauthenticated, "set -token-file or "+tokenVariable, "no bearer token")
	}
	raw, err := os.ReadFile(inv.options.tokenFile)
	if err != nil {
		return "", errkind.Wrap(err, errkind.BadInput, "name a readable file with -token-file", "cannot read the token file")
	}
	token := strings.TrimSpace(string(raw))
	if token == "" {
		return "", errkind.New(errkind.BadInput, "write the token to the file", "token file %s is empty", inv.options.tokenFile)
	}
	return token, nil
}

// changeFlags holds the flags that every command that changes the configuration has.
type changeFlags struct {
	author string
	reason string
}

func (a *changeFlags) declare(f *flag.FlagSet) {
	f.StringVar(&a.author, "author", "", "`name` of the operator who makes the change, required")
	f.StringVar(&a.reason, "reason", "", "`text` that says why, required")
}

func (a *changeFlags) check() error {
	if a.author == "" || a.reason == "" {
		return errkind.New(errkind.BadInput, "set -author and -reason", "a change needs an author and a reason")
	}
	return nil
}
