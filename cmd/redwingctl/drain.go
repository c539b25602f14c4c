package main

import (
	"flag"

	"github.com/redwingthread/redwingthread/operatorclient"
)

func drainCommands() []command {
	return []command{
		{
			name: "drain start", arguments: "VM", summary: "Empties a VM or worker",
			examples: []string{`drain start w-a-3 -author ana -reason "fan replacement"`},
			setup: drainSetup(func(vm, reason string) operatorclient.Edit {
				return operatorclient.StartDrain(vm, reason)
			}),
		},
		{
			name: "drain stop", arguments: "VM", summary: "Lets a drained VM or worker take work again",
			examples: []string{`drain stop w-a-3 -author ana -reason "fan replaced"`},
			setup:    drainSetup(func(vm, _ string) operatorclient.Edit { return operatorclient.StopDrain(vm) }),
		},
	}
}

func drainSetup(edit func(vm, reason string) operatorclient.Edit) func(*flag.FlagSet) func(*call) error {
	return func(f *flag.FlagSet) func(*call) error {
		var by authorship
		by.declare(f)
		return func(c *call) error {
			if err := c.want("VM"); err != nil {
				return err
			}
			return c.change(by, edit(c.args[0], by.reason))
		}
	}
}
