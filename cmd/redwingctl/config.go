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

// configCommands returns the commands that change the configuration or say what a change would do.
func configCommands() []command {
	return []command{
		{
			name: "config init", arguments: "FILE", summary: "Makes version 0 from a JSON document",
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
			name: "config settle", arguments: "PATCH-ID", summary: "Reads the decision about a patch back from the log",
			examples: []string{"config settle 6f1c2a0e-8f0e-4b5e-9d0a-3f3f2b1c0d9e"},
			setup:    configSettle,
		},
		{
			name: "config withdraw", arguments: "PATCH-ID", summary: "Rules a patch out unless it was decided before",
			examples: []string{`config withdraw 6f1c2a0e-8f0e-4b5e-9d0a-3f3f2b1c0d9e -author ana -reason "log was down"`},
			setup:    configWithdraw,
		},
	}
}

// readInput reads the file of the name, or standard input for "-".
func (c *call) readInput(name string) ([]byte, error) {
	var raw []byte
	var err error
	if name == "-" {
		raw, err = io.ReadAll(c.stdin)
	} else {
		raw, err = os.ReadFile(name)
	}
	return raw, errkind.Wrap(err, errkind.BadInput, "name a readable file, or - for standard input", "file %s", name)
}

func configInit(*flag.FlagSet) func(*call) error {
	return func(c *call) error {
		if err := c.want("FILE"); err != nil {
			return err
		}
		raw, err := c.readInput(c.args[0])
		if err != nil {
			return err
		}
		if !json.Valid(raw) {
			return errkind.New(errkind.BadInput, "write a JSON document", "file %s is not JSON", c.args[0])
		}
		client, err := c.client()
		if err != nil {
			return err
		}
		decision, err := client.Init(c.ctx, raw)
		if err != nil {
			return err
		}
		return c.decision(decision)
	}
}

// patchFlags holds the flags that complete a patch from a file.
type patchFlags struct {
	by authorship
}

func (p *patchFlags) declare(f *flag.FlagSet) {
	f.StringVar(&p.by.author, "author", "", "`name` of the operator, if the file has none")
	f.StringVar(&p.by.reason, "reason", "", "`text` that says why, if the file has none")
}

// readPatch reads a patch. The base must be in the file, since it is the version that the author looked at; a missing
// id is made up, so that the patch can be settled after a lost response.
func (p *patchFlags) readPatch(c *call, name string) (operatorclient.Patch, error) {
	var patch operatorclient.Patch
	raw, err := c.readInput(name)
	if err != nil {
		return patch, err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&patch); err != nil {
		return patch, errkind.Wrap(err, errkind.BadInput,
			`write {"base":N,"author":"...","reason":"...","ops":[{"op":"set","path":"...","value":{...}}]}`, "patch %s", name)
	}
	var base struct {
		Base *uint64 `json:"base"`
	}
	if err := json.Unmarshal(raw, &base); err != nil || base.Base == nil {
		return patch, errkind.New(errkind.BadInput, "set base to the version that the patch was written against",
			"patch %s has no base", name)
	}
	if patch.Author == "" {
		patch.Author = p.by.author
	}
	if patch.Reason == "" {
		patch.Reason = p.by.reason
	}
	if patch.ID == "" {
		patch.ID = uuid.NewString()
	}
	by := authorship{patch.Author, patch.Reason}
	return patch, by.check()
}

// prepare reads the patch file that the command names and returns a client to send the patch with.
func (p *patchFlags) prepare(c *call) (*operatorclient.Client, operatorclient.Patch, error) {
	if err := c.want("FILE"); err != nil {
		return nil, operatorclient.Patch{}, err
	}
	patch, err := p.readPatch(c, c.args[0])
	if err != nil {
		return nil, operatorclient.Patch{}, err
	}
	client, err := c.client()
	return client, patch, err
}

func configPlan(f *flag.FlagSet) func(*call) error {
	var flags patchFlags
	flags.declare(f)
	return func(c *call) error {
		client, patch, err := flags.prepare(c)
		if err != nil {
			return err
		}
		result, err := client.Plan(c.ctx, patch)
		if err != nil {
			return err
		}
		return c.print(result, func() {
			fmt.Fprintf(c.stdout, "version %d would become %d:\n", result.Base, result.Version)
			c.lines(result.Summary)
		})
	}
}

func configSubmit(f *flag.FlagSet) func(*call) error {
	var flags patchFlags
	flags.declare(f)
	return func(c *call) error {
		client, patch, err := flags.prepare(c)
		if err != nil {
			return err
		}
		decision, err := client.Submit(c.ctx, patch)
		if err != nil {
			return err
		}
		return c.decision(decision)
	}
}

func configSettle(*flag.FlagSet) func(*call) error {
	return func(c *call) error {
		client, err := c.clientFor("PATCH-ID")
		if err != nil {
			return err
		}
		decision, err := client.Settle(c.ctx, c.args[0])
		if err != nil {
			return err
		}
		return c.decision(decision)
	}
}

func configWithdraw(f *flag.FlagSet) func(*call) error {
	var by authorship
	by.declare(f)
	return func(c *call) error {
		if err := c.want("PATCH-ID"); err != nil {
			return err
		}
		if err := by.check(); err != nil {
			return err
		}
		client, err := c.client()
		if err != nil {
			return err
		}
		decision, err := client.Withdraw(c.ctx, c.args[0], by.author, by.reason)
		if err != nil {
			return err
		}
		return c.decision(decision)
	}
}
