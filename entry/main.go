package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"foxtailbridge/link/settings"
	"foxtailbridge/link/supervisor"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// checkCommand checks settings without starting anything.
type checkCommand struct{}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings file" }
func (*checkCommand) Usage() string {
	return "check FILE:\n  Check a settings file and name the first error with its line and key.\n"
}
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "entry check: one settings file is needed")
		return subcommands.ExitUsageError
	}
	if _, err := settings.LoadEntry(f.Arg(0)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("ok")
	return subcommands.ExitSuccess
}

// runCommand runs an instance until it is told to stop.
type runCommand struct {
	settings string
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run an entry instance until SIGTERM or SIGINT" }
func (*runCommand) Usage() string {
	return "run -settings FILE:\n  Run an entry instance. SIGTERM and SIGINT shut it down gracefully; SIGHUP is logged.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the YAML settings `file`")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	signals := supervisor.Notify()
	s, err := settings.LoadEntry(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if err := serve(ctx, s, signals); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
