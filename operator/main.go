package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// Exit codes in addition to success, failure and usage error.
const (
	// exitSuperseded means that the ticket was published, but a higher ticket number, or an
	// earlier ticket with the same number, is in force for at least one of its objects.
	exitSuperseded subcommands.ExitStatus = 3
	// exitUncertain means that the result is unknown: the ticket may still take effect.
	exitUncertain subcommands.ExitStatus = 4
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&commandGroup{name: "ticket", synopsis: "check or publish a change ticket", commands: ticketCommands}, "")
	subcommands.Register(&commandGroup{name: "config", synopsis: "show the configuration in force", commands: configCommands}, "")
	subcommands.Register(newStatusCommand(), "")
	subcommands.Register(newBillsCommand(), "")
	subcommands.Register(newDecisionsCommand(), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// commandGroup is a command with subcommands, such as "ticket publish".
type commandGroup struct {
	name     string
	synopsis string
	commands func() []subcommands.Command
}

func (g *commandGroup) Name() string     { return g.name }
func (g *commandGroup) Synopsis() string { return g.synopsis }
func (g *commandGroup) Usage() string {
	return g.name + " COMMAND [flags]:\n  " + g.synopsis + ". \"" + g.name + " help\" lists the commands.\n"
}
func (g *commandGroup) SetFlags(*flag.FlagSet) {}

func (g *commandGroup) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(f, "operator "+g.name)
	commander.Register(commander.HelpCommand(), "")
	for _, command := range g.commands() {
		commander.Register(command, "")
	}
	return commander.Execute(ctx)
}
