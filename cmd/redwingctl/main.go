// Command redwingctl is the command-line tool for operators of redwingthread.
//
// Run redwingctl -h for the list of commands, and redwingctl COMMAND -h for the flags, examples and exit codes of one.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	e := &environment{ctx: ctx, stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, getenv: os.Getenv}
	code := e.run(commands(), os.Args[1:])
	cancel()
	os.Exit(code)
}

// commands returns all commands, in the order in which the help text lists them.
func commands() []command {
	var all []command
	all = append(all, accountCommands()...)
	all = append(all, guaranteeCommands()...)
	all = append(all, jobCommands()...)
	all = append(all, configCommands()...)
	all = append(all, configReadCommands()...)
	all = append(all, drainCommands()...)
	all = append(all, healthCommand())
	all = append(all, requestCommands()...)
	all = append(all, checkSettingsCommand(), tokenCommand(), devCertsCommand(), versionCommand())
	return all
}
