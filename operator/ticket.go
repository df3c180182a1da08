package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	"foxtailbridge/link/admin/adminv1"
	"foxtailbridge/link/admin/adminv1/adminv1connect"
	"foxtailbridge/policy/ticket"
)

func ticketCommands() []subcommands.Command {
	return []subcommands.Command{&checkCommand{}, &publishCommand{}}
}

// readTicket reads a ticket file, or standard input for "-".
func readTicket(f *flag.FlagSet) ([]byte, error) {
	if f.NArg() != 1 {
		return nil, fmt.Errorf("one ticket file is needed, or - for standard input")
	}
	if f.Arg(0) == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(f.Arg(0))
}

// checkCommand checks a ticket without an instance.
type checkCommand struct{}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a ticket file without publishing it" }
func (*checkCommand) Usage() string {
	return `check FILE:
  Check a YAML ticket and name its first error. Needs no instance.
  Exit code: 0 the ticket is valid, 1 it is not.
`
}
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	data, err := readTicket(f)
	if err != nil {
		return fail(err)
	}
	t, err := ticket.Parse(data)
	if err != nil {
		return fail(err)
	}
	fmt.Printf("ticket %d is valid and sets:\n", t.Number)
	for _, e := range t.Entries(0) {
		fmt.Printf("  %s %s\n", e.Kind, e.Name)
	}
	return subcommands.ExitSuccess
}

// publishCommand appends a ticket to the log through an instance.
type publishCommand struct {
	connection
}

func (*publishCommand) Name() string     { return "publish" }
func (*publishCommand) Synopsis() string { return "publish a ticket and wait until it is in force" }
func (*publishCommand) Usage() string {
	return `publish [flags] FILE:
  Check a YAML ticket, append it to the log and wait until it was read back.
  Publishing the same ticket again is harmless.
  Exit code: 0 in force, 1 rejected, 3 a higher ticket number, or an earlier
  ticket of the same number, is in force for some object, 4 not known: the
  ticket may come into force later; publish it again.
`
}
func (c *publishCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

func (c *publishCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	data, err := readTicket(f)
	if err != nil {
		return fail(err)
	}
	if _, err := ticket.Parse(data); err != nil {
		return fail(err)
	}
	request := &adminv1.PublishRequest{Ticket: data}
	response, status := ask(ctx, &c.connection, request, func(client adminv1connect.AdminServiceClient) func(context.Context, *connect.Request[adminv1.PublishRequest]) (*connect.Response[adminv1.PublishResponse], error) {
		return client.Publish
	}, printPublished)
	if status != subcommands.ExitSuccess {
		return status
	}
	for _, object := range response.Objects {
		if !object.InForce {
			return exitSuperseded
		}
	}
	return subcommands.ExitSuccess
}

func printPublished(response *adminv1.PublishResponse) {
	fmt.Printf("ticket %d is in the log at offset %d\n", response.Number, response.Offset)
	for _, object := range response.Objects {
		state := "in force"
		if !object.InForce {
			state = fmt.Sprintf("NOT in force: ticket %d stands", object.NumberInForce)
		}
		fmt.Printf("  %-10s %-24s %s\n", object.Kind, object.Name, state)
	}
}
