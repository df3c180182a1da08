package listing

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"foxtailbridge/link/platform"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/standin/web"
)

// Faults are the failures that the list brings about.
type Faults struct {
	Outage bool `json:"outage"`
	// Lag is how long a change takes to show.
	Lag clock.Millis `json:"lag-ms"`
}

// Directory serves the newest list that is older than the lag.
type Directory struct {
	clock *clock.Clock

	mu       sync.Mutex
	versions []version
	faults   Faults
}

type version struct {
	at      clock.Millis
	listing platform.Listing
}

// New returns a Directory with a first list, which shows at once.
func New(c *clock.Clock, listing platform.Listing) *Directory {
	d := &Directory{clock: c}
	d.versions = []version{{listing: listing}}
	return d
}

// Set replaces the list; it shows after the lag.
func (d *Directory) Set(listing platform.Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, version{at: d.clock.Wall(), listing: listing})
}

// SetFaults replaces the faults.
func (d *Directory) SetFaults(faults Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

// Client returns a client that calls the directory directly.
func (d *Directory) Client() *platform.Directory {
	return &platform.Directory{List: d.List}
}

// List returns the list as it shows now.
func (d *Directory) List(context.Context) (*platform.Listing, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faults.Outage {
		return nil, fault.New("list", platform.KindUncertain, "outage")
	}
	shown := d.versions[0].listing
	for _, v := range d.versions {
		if v.at+d.faults.Lag <= d.clock.Wall() {
			shown = v.listing
		}
	}
	// Callers may change what they get, as with an answer over the network.
	return &platform.Listing{
		Instances: slices.Clone(shown.Instances),
		Endpoints: slices.Clone(shown.Endpoints),
	}, nil
}

// Handler serves the directory over HTTP.
func (d *Directory) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /listing", func(w http.ResponseWriter, r *http.Request) {
		listing, err := d.List(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		web.WriteJSON(w, http.StatusOK, listing)
	})
	mux.HandleFunc("PUT /listing", func(w http.ResponseWriter, r *http.Request) {
		var listing platform.Listing
		if web.ReadJSON(w, r, &listing) {
			d.Set(listing)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	web.RegisterFaultsHandler(mux, d.SetFaults)
	return mux
}
