package main

import (
	"context"
	"flag"
	"fmt"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	"foxtailbridge/link/admin/adminv1"
	"foxtailbridge/link/admin/adminv1/adminv1connect"
)

const microsPerEuro = 1_000_000

func configCommands() []subcommands.Command {
	return []subcommands.Command{&showCommand[adminv1.ConfigRequest, adminv1.ConfigResponse]{
		name:     "show",
		synopsis: "show every object in force with the ticket that set it",
		method: func(c adminv1connect.AdminServiceClient) func(context.Context, *connect.Request[adminv1.ConfigRequest]) (*connect.Response[adminv1.ConfigResponse], error) {
			return c.Config
		},
		print: printConfig,
	}}
}

func newStatusCommand() subcommands.Command {
	return &showCommand[adminv1.StatusRequest, adminv1.StatusResponse]{
		name:     "status",
		synopsis: "show an instance and the endpoints as it sees them",
		method: func(c adminv1connect.AdminServiceClient) func(context.Context, *connect.Request[adminv1.StatusRequest]) (*connect.Response[adminv1.StatusResponse], error) {
			return c.Status
		},
		print: printStatus,
	}
}

func newBillsCommand() subcommands.Command {
	c := &showCommand[adminv1.BillsRequest, adminv1.BillsResponse]{
		name:     "bills",
		synopsis: "list bills, each request counted once",
		method: func(c adminv1connect.AdminServiceClient) func(context.Context, *connect.Request[adminv1.BillsRequest]) (*connect.Response[adminv1.BillsResponse], error) {
			return c.Bills
		},
		print: printBills,
	}
	c.flags = func(f *flag.FlagSet) {
		f.StringVar(&c.request.Workspace, "workspace", "", "only bills of this `workspace`")
		addLimitFlag(f, &c.request.Limit)
	}
	return c
}

func newDecisionsCommand() subcommands.Command {
	c := &showCommand[adminv1.DecisionsRequest, adminv1.DecisionsResponse]{
		name:     "decisions",
		synopsis: "show the latest routing decisions of an instance",
		method: func(c adminv1connect.AdminServiceClient) func(context.Context, *connect.Request[adminv1.DecisionsRequest]) (*connect.Response[adminv1.DecisionsResponse], error) {
			return c.Decisions
		},
		print: printDecisions,
	}
	c.flags = func(f *flag.FlagSet) { addLimitFlag(f, &c.request.Limit) }
	return c
}

const defaultLimit = 50

// addLimitFlag defines the -limit flag; the flag package has no 32-bit integer flags.
func addLimitFlag(f *flag.FlagSet, field *int32) {
	*field = defaultLimit
	f.Func("limit", fmt.Sprintf("show the last `count` lines, 0 for all (default %d)", defaultLimit), func(text string) error {
		_, err := fmt.Sscan(text, field)
		return err
	})
}

// showCommand makes one read-only call to an instance and prints the response.
type showCommand[Req, Resp any] struct {
	adminFlags
	name     string
	synopsis string
	request  Req
	flags    func(*flag.FlagSet)
	method   func(adminv1connect.AdminServiceClient) func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)
	print    func(*Resp)
}

func (c *showCommand[Req, Resp]) Name() string     { return c.name }
func (c *showCommand[Req, Resp]) Synopsis() string { return c.synopsis }
func (c *showCommand[Req, Resp]) Usage() string {
	return c.name + " [flags]:\n  " + c.synopsis + ".\n"
}

func (c *showCommand[Req, Resp]) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	if c.flags != nil {
		c.flags(f)
	}
}

func (c *showCommand[Req, Resp]) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	_, status := callAdmin(ctx, &c.adminFlags, &c.request, c.method, c.print)
	return status
}

func printConfig(response *adminv1.ConfigResponse) {
	fmt.Printf("digest %s\n", response.Digest)
	for _, object := range response.Objects {
		fmt.Printf("%-10s %-24s ticket %-6d offset %-6d %s\n", object.Kind, object.Name, object.Number, object.Offset, object.Body)
	}
}

func printStatus(r *adminv1.StatusResponse) {
	fmt.Printf("instance %s in zone %s: ready=%t draining=%t\n", r.Instance, r.Zone, r.Ready, r.Draining)
	fmt.Printf("config %s, log read to its end %d ms ago\n", r.ConfigDigest, r.LogAgeMs)
	fmt.Printf("bills: %d not in the log yet, %d held for other instances\n", r.UnsettledBills, r.HeldBills)
	fmt.Printf("other instances: %v\n", r.Peers)
	for _, digest := range r.Quarantined {
		fmt.Printf("quarantined request %s\n", digest)
	}
	for _, name := range r.StoppedRollouts {
		fmt.Printf("stopped roll-out %s\n", name)
	}
	for _, e := range r.Endpoints {
		fmt.Printf("endpoint %-14s zone %-4s %-18s %-8s in-flight=%d report-age-ms=%d\n",
			e.Id, e.Zone, e.Serves, e.State, e.InFlight, e.ReportAgeMs)
	}
}

func printBills(r *adminv1.BillsResponse) {
	for _, bill := range r.Bills {
		fmt.Printf("%-42s %-14s %-22s %6d tokens %2d attempts %10.6f EUR\n", bill.RequestId, bill.Workspace,
			bill.Serves, bill.Tokens, bill.Attempts, float64(bill.CostMicros)/microsPerEuro)
	}
	fmt.Printf("total %.6f EUR, %d duplicate bills ignored\n", float64(r.TotalMicros)/microsPerEuro, r.DuplicatesIgnored)
}

func printDecisions(r *adminv1.DecisionsResponse) {
	for _, line := range r.Lines {
		fmt.Println(line)
	}
}
