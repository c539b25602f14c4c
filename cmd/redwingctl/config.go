package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/operatorclient"
)

// configCommands returns the commands that change the configuration or show what a change would do.
func configCommands() []command {
	return []command{
		{
			name: "config init", arguments: "FILE", summary: "Creates version 0 of the configuration from a JSON document",
			examples: []string{"config init document.json -token-file bootstrap.token"},
			setup:    configInit,
		},
		{
			name: "config plan", arguments: "FILE", summary: "Shows what a patch would change, without submitting it",
			examples: []string{"config plan patch.json"},
			setup:    configPlan,
		},
		{
			name: "config submit", arguments: "FILE", summary: "Submits a patch",
			examples: []string{
				"config submit patch.json",
				`config submit - -author ana -reason "new endpoint" < patch.json`,
			},
			setup: configSubmit,
		},
		{
			name: "config settle", arguments: "PATCH-ID", summary: "Looks up the decision about a patch in the configuration log",
			examples: []string{"config settle 6f1c2a0e-8f0e-4b5e-9d0a-3f3f2b1c0d9e"},
			setup:    configSettle,
		},
		{
			name: "config withdraw", arguments: "PATCH-ID", summary: "Prevents an undecided patch from taking effect",
			examples: []string{`config withdraw 6f1c2a0e-8f0e-4b5e-9d0a-3f3f2b1c0d9e -author ana -reason "log was down"`},
			setup:    configWithdraw,
		},
	}
}

// readInput reads the named file, or standard input if name is "-".
func (inv *invocation) readInput(name string) ([]byte, error) {
	var raw []byte
	var err error
	if name == "-" {
		raw, err = io.ReadAll(inv.stdin)
	} else {
		raw, err = os.ReadFile(name)
	}
	return raw, errkind.Wrap(err, errkind.BadInput, "name a readable file, or - for standard input", "cannot read file %s", name)
}

func configInit(*flag.FlagSet) func(*invocation) error {
	return func(inv *invocation) error {
		if err := inv.checkArgs("FILE"); err != nil {
			return err
		}
		raw, err := inv.readInput(inv.args[0])
		if err != nil {
			return err
		}
		if !json.Valid(raw) {
			return errkind.New(errkind.BadInput, "write a JSON document", "file %s is not JSON", inv.args[0])
		}
		client, err := inv.client()
		if err != nil {
			return err
		}
		decision, err := client.Init(inv.ctx, raw)
		if err != nil {
			return err
		}
		return inv.decision(decision)
	}
}

// patchFlags holds the flags that fill in fields which a patch file leaves out.
type patchFlags struct {
	change changeFlags
}

func (p *patchFlags) declare(f *flag.FlagSet) {
	f.StringVar(&p.change.author, "author", "", "`name` of the operator, if the file has none")
	f.StringVar(&p.change.reason, "reason", "", "`text` that says why, if the file has none")
}

// readPatch reads a patch file. The file must contain the base, because only its author knows which version the patch was
// written against. A patch without an id gets a random one, so that its decision can be looked up after a lost response.
func (p *patchFlags) readPatch(inv *invocation, name string) (operatorclient.Patch, error) {
	var patch operatorclient.Patch
	raw, err := inv.readInput(name)
	if err != nil {
		return patch, err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&patch); err != nil {
		return patch, errkind.Wrap(err, errkind.BadInput,
			`write {"base":N,"author":"...","reason":"...","ops":[{"op":"set","path":"...","value":{...}}]}`, "cannot decode patch %s", name)
	}
	var base struct {
		Base *uint64 `json:"base"`
	}
	if err := json.Unmarshal(raw, &base); err != nil || base.Base == nil {
		return patch, errkind.New(errkind.BadInput, "set base to the version that the patch was written against",
			"patch %s has no base", name)
	}
	if patch.Author == "" {
		patch.Author = p.change.author
	}
	if patch.Reason == "" {
		patch.Reason = p.change.reason
	}
	if patch.ID == "" {
		patch.ID = uuid.NewString()
	}
	change := changeFlags{patch.Author, patch.Reason}
	return patch, change.check()
}

// prepare reads the patch file named on the command line. It returns the patch and a client to send it with.
func (p *patchFlags) prepare(inv *invocation) (*operatorclient.Client, operatorclient.Patch, error) {
	if err := inv.checkArgs("FILE"); err != nil {
		return nil, operatorclient.Patch{}, err
	}
	patch, err := p.readPatch(inv, inv.args[0])
	if err != nil {
		return nil, operatorclient.Patch{}, err
	}
	client, err := inv.client()
	return client, patch, err
}

func configPlan(f *flag.FlagSet) func(*invocation) error {
	var flags patchFlags
	flags.declare(f)
	return func(inv *invocation) error {
		client, patch, err := flags.prepare(inv)
		if err != nil {
			return err
		}
		result, err := client.Plan(inv.ctx, patch)
		if err != nil {
			return err
		}
		return inv.print(result, func() {
			fmt.Fprintf(inv.stdout, "version %d would become %d:\n", result.Base, result.Version)
			inv.lines(result.Summary)
		})
	}
}

func configSubmit(f *flag.FlagSet) func(*invocation) error {
	var flags patchFlags
	flags.declare(f)
	return func(inv *invocation) error {
		client, patch, err := flags.prepare(inv)
		if err != nil {
			return err
		}
		decision, err := client.Submit(inv.ctx, patch)
		if err != nil {
			return err
		}
		return inv.decision(decision)
	}
}

func configSettle(*flag.FlagSet) func(*invocation) error {
	return func(inv *invocation) error {
		client, err := inv.clientWithArgs("PATCH-ID")
		if err != nil {
			return err
		}
		decision, err := client.Settle(inv.ctx, inv.args[0])
		if err != nil {
			return err
		}
		return inv.decision(decision)
	}
}

func configWithdraw(f *flag.FlagSet) func(*invocation) error {
	var change changeFlags
	change.declare(f)
	return func(inv *invocation) error {
		if err := inv.checkArgs("PATCH-ID"); err != nil {
			return err
		}
		if err := change.check(); err != nil {
			return err
		}
		client, err := inv.client()
		if err != nil {
			return err
		}
		decision, err := client.Withdraw(inv.ctx, inv.args[0], change.author, change.reason)
		if err != nil {
			return err
		}
		return inv.decision(decision)
	}
}
