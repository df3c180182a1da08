package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"foxtailbridge/loadtest/experiment"
	"foxtailbridge/loadtest/load"
)

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "loadtest:", err)
	return subcommands.ExitFailure
}

// runCommand sends the load of a profile and reports the results.
type runCommand struct {
	out string
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "send the load that a profile file describes" }
func (*runCommand) Usage() string {
	return "run [-out FILE] FILE:\n  Send seeded open-loop load and print percentiles. Targets are loopback addresses.\n"
}
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "out", "", "write the result as JSON to this `file`")
}

func (c *runCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return subcommands.ExitUsageError
	}
	e, err := load.Read(f.Arg(0))
	if err != nil {
		return fail(err)
	}
	results := load.Run(ctx, e)
	for i := range results {
		fmt.Println(&results[i])
	}
	if c.out == "" {
		return subcommands.ExitSuccess
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return fail(err)
	}
	if err := os.WriteFile(c.out, append(data, '\n'), 0o644); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// compareCommand compares two result files.
type compareCommand struct {
	maxRatio       float64
	maxAddedMicros int64
}

func (*compareCommand) Name() string     { return "compare" }
func (*compareCommand) Synopsis() string { return "compare a result with an earlier one" }
func (*compareCommand) Usage() string {
	return `compare [flags] EARLIER LATER:
  Print the change of the percentiles for each stream; streams are matched by position.
  Exit with code 1 if the 95th percentile of the first-token time grew by more
  than the factor -most, or its median by more than -added-us.
`
}
func (c *compareCommand) SetFlags(f *flag.FlagSet) {
	f.Float64Var(&c.maxRatio, "most", 0, "the largest `ratio` allowed between the 95th percentiles, 0 for any")
	f.Int64Var(&c.maxAddedMicros, "added-us", 0, "the `microseconds` that the median may grow by at most, 0 for any")
}

func readResults(path string) ([]load.Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var results []load.Result
	return results, json.Unmarshal(data, &results)
}

func (c *compareCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		return subcommands.ExitUsageError
	}
	earlier, err := readResults(f.Arg(0))
	if err != nil {
		return fail(err)
	}
	later, err := readResults(f.Arg(1))
	if err != nil {
		return fail(err)
	}
	status := subcommands.ExitSuccess
	for i := range min(len(earlier), len(later)) {
		a, b := &earlier[i], &later[i]
		ratio := float64(b.FirstToken.P95) / float64(max(1, a.FirstToken.P95))
		added := b.FirstToken.P50 - a.FirstToken.P50
		fmt.Printf("%s -> %s: first-token p50 %+d us, p95 ratio %.3f, whole %d -> %d\n", a.Name, b.Name, added, ratio, a.Completed, b.Completed)
		if c.maxRatio > 0 && ratio > c.maxRatio || c.maxAddedMicros > 0 && added > c.maxAddedMicros {
			status = subcommands.ExitFailure
		}
	}
	return status
}

// experimentCommand runs a simulation in virtual time that compares policies.
type experimentCommand struct {
	seed uint64
}

func (*experimentCommand) Name() string     { return "experiment" }
func (*experimentCommand) Synopsis() string { return "compare the routing policies with baselines" }
func (*experimentCommand) Usage() string {
	return "experiment [-seed N] cascade|roll-out|choice|overload|fleet:\n  Run an experiment in virtual time and print a row for each policy.\n"
}
func (c *experimentCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "the `seed` of the load")
}

func (c *experimentCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	experiments := map[string]func(uint64){
		"cascade":  experiment.PrintCascade,
		"roll-out": experiment.PrintRollouts,
		"choice":   experiment.PrintBalancing,
		"overload": experiment.PrintOverload,
		"fleet":    experiment.PrintFleet,
	}
	run := experiments[f.Arg(0)]
	if run == nil {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	run(c.seed)
	return subcommands.ExitSuccess
}
