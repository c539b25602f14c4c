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

// command is one verb of the program.
type command struct {
	// name is one or two words, such as "account create".
	name string
	// arguments describes the positional arguments, such as "NAME".
	arguments string
	summary   string
	examples  []string
	// setup declares the flags and returns the function that runs the command after they were parsed.
	setup func(f *flag.FlagSet) func(c *call) error
}

// environment is what the program uses of its process.
type environment struct {
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	getenv func(string) string
}

// call is one run of a command.
type call struct {
	*environment
	args    []string
	options options
}

// options holds the flags that all commands have.
type options struct {
	address   string
	tokenFile string
	output    string
	timeout   time.Duration
}

// Names of environment variables and formats of the output.
const (
	addressVariable = "REDWING_ADDR"
	tokenVariable   = "REDWING_TOKEN"

	outputTable = "table"
	outputJSON  = "json"
)

// Defaults of the flags.
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
	f.StringVar(&o.tokenFile, "token-file", "", "`file` that holds the bearer token (else "+tokenVariable+")")
	f.StringVar(&o.output, "o", outputTable, "output `format`, table or json")
	f.DurationVar(&o.timeout, "timeout", defaultTimeout, "bound of one call")
}

// run runs the command that args name and returns the exit code.
func (e *environment) run(all []command, args []string) int {
	if len(args) == 0 {
		programUsage(e.stderr, all)
		return errkind.BadInput.ExitCode()
	}
	if args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		programUsage(e.stdout, all)
		return 0
	}
	selected, rest := find(all, args)
	if selected == nil {
		return e.fail(outputTable, errkind.New(errkind.BadInput, "run redwingctl -h for the commands", "unknown command %q",
			strings.Join(args[:min(len(args), 2)], " ")))
	}
	var o options
	f := newFlagSet(selected.name)
	o.declare(f, e.getenv)
	body := selected.setup(f)
	positional, err := parse(f, rest)
	switch {
	case errors.Is(err, flag.ErrHelp):
		commandUsage(e.stdout, *selected, f)
		return 0
	case err != nil:
		return e.fail(o.output, errkind.Wrap(err, errkind.BadInput, "run redwingctl "+selected.name+" -h", "flags"))
	case o.output != outputTable && o.output != outputJSON:
		return e.fail(outputTable, errkind.New(errkind.BadInput, "use -o table or -o json", "output format %q", o.output))
	}
	if err := body(&call{environment: e, args: positional, options: o}); err != nil {
		return e.fail(o.output, err)
	}
	return 0
}

// newFlagSet returns a flag set that leaves the reporting of faults to its user.
func newFlagSet(command string) *flag.FlagSet {
	f := flag.NewFlagSet("redwingctl "+command, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	return f
}

// find returns the command that args begin with and the rest of args; nil if there is none.
func find(all []command, args []string) (*command, []string) {
	for i, c := range all {
		words := strings.Fields(c.name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == c.name {
			return &all[i], args[len(words):]
		}
	}
	return nil, nil
}

// parse parses flags before, between and after the positional arguments, which it returns. Everything after "--" is
// positional.
func parse(f *flag.FlagSet, args []string) ([]string, error) {
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

// fail reports err and returns its exit code.
func (e *environment) fail(output string, err error) int {
	typed := errkind.As(err)
	if output == outputJSON {
		line, _ := json.Marshal(typed)
		fmt.Fprintln(e.stderr, string(line))
	} else {
		fmt.Fprintf(e.stderr, "redwingctl: %s\n", typed.Error())
	}
	return typed.Kind.ExitCode()
}

// want checks the number of positional arguments.
func (c *call) want(names ...string) error {
	if len(c.args) == len(names) {
		return nil
	}
	return errkind.New(errkind.BadInput, "give exactly: "+strings.Join(names, " "), "%d arguments", len(c.args))
}

// clientFor checks the number of positional arguments and returns a client of the operator API.
func (c *call) clientFor(names ...string) (*operatorclient.Client, error) {
	if err := c.want(names...); err != nil {
		return nil, err
	}
	return c.client()
}

// client returns a client of the operator API.
func (c *call) client() (*operatorclient.Client, error) {
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	return operatorclient.New(c.options.address, token, c.options.timeout), nil
}

// token returns the bearer token from the file or the environment.
func (c *call) token() (string, error) {
	if c.options.tokenFile == "" {
		if token := c.getenv(tokenVariable); token != "" {
			return token, nil
		}
		return "", errkind.New(errkind.Unauthenticated, "set -token-file or "+tokenVariable, "no token")
	}
	raw, err := os.ReadFile(c.options.tokenFile)
	if err != nil {
		return "", errkind.Wrap(err, errkind.BadInput, "name a readable file with -token-file", "token file")
	}
	token := strings.TrimSpace(string(raw))
	if token == "" {
		return "", errkind.New(errkind.BadInput, "write the token into it", "token file %s is empty", c.options.tokenFile)
	}
	return token, nil
}

// authorship holds the flags of the commands that change the configuration.
type authorship struct {
	author string
	reason string
}

func (a *authorship) declare(f *flag.FlagSet) {
	f.StringVar(&a.author, "author", "", "`name` of the operator who makes the change, required")
	f.StringVar(&a.reason, "reason", "", "`text` that says why, required")
}

func (a *authorship) check() error {
	if a.author == "" || a.reason == "" {
		return errkind.New(errkind.BadInput, "set -author and -reason", "a change needs an author and a reason")
	}
	return nil
}
