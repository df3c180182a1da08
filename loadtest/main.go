package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/google/uuid"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&keyCommand{}, "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&compareCommand{}, "")
	subcommands.Register(&experimentCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// keyCommand prints an idempotency key that contains its creation time.
type keyCommand struct{}

func (*keyCommand) Name() string     { return "key" }
func (*keyCommand) Synopsis() string { return "print a new idempotency key" }
func (*keyCommand) Usage() string {
	return "key:\n  Print a UUIDv7, for calls that may run only once.\n"
}
func (*keyCommand) SetFlags(*flag.FlagSet) {}

func (*keyCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println(uuid.Must(uuid.NewV7()))
	return subcommands.ExitSuccess
}
