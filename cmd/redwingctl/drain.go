package main

import (
	"flag"

	"github.com/redwingthread/redwingthread/operatorclient"
)

func drainCommands() []command {
	return []command{
		{
			name: "drain start", arguments: "VM", summary: "Drains a VM or worker",
			examples: []string{`drain start w-a-3 -author ana -reason "fan replacement"`},
			setup: drainSetup(func(vm, reason string) operatorclient.Edit {
				return operatorclient.StartDrain(vm, reason)
			}),
		},
		{
			name: "drain stop", arguments: "VM", summary: "Ends the drain of a VM or worker, so that it accepts work again",
			examples: []string{`drain stop w-a-3 -author ana -reason "fan replaced"`},
			setup:    drainSetup(func(vm, _ string) operatorclient.Edit { return operatorclient.StopDrain(vm) }),
		},
	}
}

func drainSetup(edit func(vm, reason string) operatorclient.Edit) func(*flag.FlagSet) func(*invocation) error {
	return func(f *flag.FlagSet) func(*invocation) error {
		var change changeFlags
		change.declare(f)
		return func(inv *invocation) error {
			if err := inv.checkArgs("VM"); err != nil {
				return err
			}
			return inv.submitAndPrint(change, edit(inv.args[0], change.reason))
		}
	}
}
