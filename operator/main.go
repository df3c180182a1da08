package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// Exit codes for scripts, beside success, failure and usage error.
const (
	// exitSuperseded means that the ticket was published and a higher number is in force.
	exitSuperseded subcommands.ExitStatus = 3
	// exitUncertain means that the ticket may come into force later.
	exitUncertain subcommands.ExitStatus = 4
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&group{name: "ticket", synopsis: "check or publish a change ticket", commands: ticketCommands}, "")
	subcommands.Register(&group{name: "config", synopsis: "show the configuration in force", commands: configCommands}, "")
	subcommands.Register(newStatusCommand(), "")
	subcommands.Register(newBillsCommand(), "")
	subcommands.Register(newDecisionsCommand(), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// group is a command with commands of its own, such as "ticket publish".
type group struct {
	name     string
	synopsis string
	commands func() []subcommands.Command
}

func (g *group) Name() string     { return g.name }
func (g *group) Synopsis() string { return g.synopsis }
func (g *group) Usage() string {
	return g.name + " COMMAND [flags]:\n  " + g.synopsis + ". \"" + g.name + " help\" lists the commands.\n"
}
func (g *group) SetFlags(*flag.FlagSet) {}

func (g *group) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(f, "operator "+g.name)
	commander.Register(commander.HelpCommand(), "")
	for _, command := range g.commands() {
		commander.Register(command, "")
	}
	return commander.Execute(ctx)
}
