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

// Faults are the failures that the directory injects.
type Faults struct {
	Outage bool `json:"outage"`
	// Lag is how long a change takes to become visible.
	Lag clock.Millis `json:"lag-ms"`
}

// Directory serves the latest listing that is at least as old as the lag.
type Directory struct {
	clock *clock.Clock

	mu       sync.Mutex
	versions []listingVersion
	faults   Faults
}

type listingVersion struct {
	at      clock.Millis
	listing platform.Listing
}

// New returns a Directory with an initial listing, which is visible immediately.
func New(c *clock.Clock, listing platform.Listing) *Directory {
	d := &Directory{clock: c}
	d.versions = []listingVersion{{listing: listing}}
	return d
}

// Set replaces the listing; the new one becomes visible after the lag.
func (d *Directory) Set(listing platform.Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, listingVersion{at: d.clock.Wall(), listing: listing})
}

// SetFaults replaces the injected faults.
func (d *Directory) SetFaults(faults Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

// Client returns a client that calls the directory in process.
func (d *Directory) Client() *platform.Directory {
	return &platform.Directory{List: d.List}
}

// List returns the currently visible listing.
func (d *Directory) List(context.Context) (*platform.Listing, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faults.Outage {
		return nil, fault.New("list", platform.KindUncertain, "outage")
	}
	current := d.versions[0].listing
	for _, v := range d.versions {
		if v.at+d.faults.Lag <= d.clock.Wall() {
			current = v.listing
		}
	}
	// Callers may modify the result, as they may modify a decoded response.
	return &platform.Listing{
		Instances: slices.Clone(current.Instances),
		Endpoints: slices.Clone(current.Endpoints),
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
