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
		return nil, fmt.Errorf("exactly one ticket file is required, or - for standard input")
	}
	if f.Arg(0) == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(f.Arg(0))
}

// checkCommand validates a ticket file locally, without calling an instance.
type checkCommand struct{}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a ticket file without publishing it" }
func (*checkCommand) Usage() string {
	return `check FILE:
  Validate a YAML ticket and print its first error. No instance is needed.
  Exit code: 0 if the ticket is valid, 1 if it is not.
`
}
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	data, err := readTicket(f)
	if err != nil {
		return printError(err)
	}
	t, err := ticket.Parse(data)
	if err != nil {
		return printError(err)
	}
	fmt.Printf("ticket %d is valid and sets:\n", t.Number)
	for _, e := range t.Entries(0) {
		fmt.Printf("  %s %s\n", e.Kind, e.Name)
	}
	return subcommands.ExitSuccess
}

// publishCommand appends a ticket to the log through an instance.
type publishCommand struct {
	adminFlags
}

func (*publishCommand) Name() string     { return "publish" }
func (*publishCommand) Synopsis() string { return "publish a ticket and wait until it is in force" }
func (*publishCommand) Usage() string {
	return `publish [flags] FILE:
  Validate a YAML ticket, append it to the log and wait until it is read back.
  Publishing the same ticket again is idempotent.
  Exit codes:
    0  the ticket is in force
    1  the ticket was rejected
    3  a higher ticket number, or an earlier ticket with the same number, is in
       force for at least one object
    4  unknown: the ticket may still take effect; publish it again
`
}
func (c *publishCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

func (c *publishCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	data, err := readTicket(f)
	if err != nil {
		return printError(err)
	}
	if _, err := ticket.Parse(data); err != nil {
		return printError(err)
	}
	request := &adminv1.PublishRequest{Ticket: data}
	response, status := callAdmin(ctx, &c.adminFlags, request, func(client adminv1connect.AdminServiceClient) func(context.Context, *connect.Request[adminv1.PublishRequest]) (*connect.Response[adminv1.PublishResponse], error) {
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
			state = fmt.Sprintf("NOT in force: superseded by ticket %d", object.NumberInForce)
		}
		fmt.Printf("  %-10s %-24s %s\n", object.Kind, object.Name, state)
	}
}
