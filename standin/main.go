package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/google/subcommands"

	"foxtailbridge/link/platform"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
	"foxtailbridge/standin/applog"
	"foxtailbridge/standin/engine"
	"foxtailbridge/standin/listing"
	"foxtailbridge/standin/rating"
	"foxtailbridge/standin/service"
	"foxtailbridge/standin/web"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&command{name: "log", synopsis: "run the append-only log", build: buildLog}, "platform")
	subcommands.Register(&command{name: "directory", synopsis: "run the list of instances and endpoints", build: buildDirectory}, "platform")
	subcommands.Register(&command{name: "rating", synopsis: "run the rating service", build: buildRating}, "platform")
	subcommands.Register(&command{name: "engine", synopsis: "run a model engine", build: buildEngine}, "endpoints")
	subcommands.Register(&command{name: "service", synopsis: "run a plain service", build: buildService}, "endpoints")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// options are the flags of all stand-ins; each uses those that concern it.
type options struct {
	listen    string
	retention int64
	list      string
	engine    engine.Config
	version   string
	first     int64
	token     int64
}

// built is a stand-in ready to serve.
type built struct {
	handler http.Handler
	// tracker, if set, is told of connections so that a crash can close them.
	tracker *web.Tracker
}

// command runs one stand-in.
type command struct {
	options
	name     string
	synopsis string
	build    func(o *options) (*built, error)
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }
func (c *command) Usage() string {
	return fmt.Sprintf("%s [flags]:\n  %s. Faults are set with PUT /faults.\n", c.name, c.synopsis)
}

func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "the `address` to listen on")
	switch c.name {
	case "log":
		f.Int64Var(&c.retention, "retention-ms", int64(applog.DefaultRetention), "how long records are kept, in `milliseconds`")
	case "directory":
		f.StringVar(&c.list, "list", "", "the YAML `file` with instances and endpoints")
	case "engine":
		c.engineFlags(f)
	}
}

func (c *command) engineFlags(f *flag.FlagSet) {
	f.StringVar(&c.engine.ID, "id", "engine", "the engine's `name` in its events")
	f.StringVar(&c.version, "version", "", "the `model@version` that it serves")
	f.IntVar(&c.engine.Slots, "slots", 8, "how many requests run at once")
	f.IntVar(&c.engine.ColdLimit, "bears", 1, "how many requests it bears in cold start")
	f.IntVar(&c.engine.WarmAfter, "warm-after", 2, "how many requests make it warm")
	f.Int64Var(&c.first, "first-token-ms", 40, "time to the first token in `milliseconds`")
	f.Int64Var(&c.token, "token-ms", 5, "time between tokens in `milliseconds`")
	f.IntVar(&c.engine.PoorPercent, "poor-percent", 0, "`percent` of requests that get a poor answer")
	f.BoolVar(&c.engine.IgnoreFencing, "ignores-fence", false, "carry out orders with old fencing numbers")
}

func (c *command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := c.serve(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *command) serve() error {
	b, err := c.build(&c.options)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return err
	}
	fmt.Printf("%s listens on %s\n", c.name, listener.Addr())
	server := &http.Server{Handler: b.handler}
	if b.tracker != nil {
		server.ConnState = b.tracker.OnStateChange
	}
	return server.Serve(listener)
}

func buildLog(o *options) (*built, error) {
	return &built{handler: applog.New(clock.New(), clock.Millis(o.retention)).Handler()}, nil
}

func buildDirectory(o *options) (*built, error) {
	data, err := os.ReadFile(o.list)
	if err != nil {
		return nil, err
	}
	asJSON, err := yaml.YAMLToJSON(data)
	if err != nil {
		return nil, err
	}
	var list platform.Listing
	if err := json.Unmarshal(asJSON, &list); err != nil {
		return nil, err
	}
	return &built{handler: listing.New(clock.New(), list).Handler()}, nil
}

func buildRating(*options) (*built, error) {
	return &built{handler: rating.New(clock.New()).Handler()}, nil
}

func buildEngine(o *options) (*built, error) {
	o.engine.Version = ticket.VersionRef(o.version)
	o.engine.FirstTokenLatency = clock.Millis(o.first)
	o.engine.TokenInterval = clock.Millis(o.token)
	e := engine.New(o.engine, clock.New())
	tracker := web.NewTracker()
	e.OnCrash(tracker.CloseAll)
	return &built{handler: e.Handler(), tracker: tracker}, nil
}

func buildService(*options) (*built, error) {
	return &built{handler: service.New(clock.New()).Handler()}, nil
}
