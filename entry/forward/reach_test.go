package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// addZones adds three endpoints of each service in each of the zones.
func (h *harness) addZones(zones ...ticket.ZoneName) {
	var records []registry.Record
	for _, zone := range zones {
		for i := range 3 {
			for _, service := range []ticket.ServiceName{"plain", "engines"} {
				id := fmt.Sprint(service, zone, i)
				h.objects[id+"x"] = registry.Object{Endpoint: &catalog.Endpoint{ID: routing.EndpointID(id), StartedAt: 1, Service: service, Zone: zone, Release: "v1", Slots: 6}}
				records = append(records, registry.Record{Key: id, Value: []byte("x"), Offset: registry.Offset(8 + len(records))})
			}
		}
	}
	h.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: records, From: 8, Head: registry.Offset(8 + len(records))})
}

// drainZone takes a zone out.
func (h *harness) drainZone(zone ticket.ZoneName) {
	h.objects["drainx"] = registry.Object{ZoneOut: zone}
	h.registry.Merge(registry.Batch{Feed: registry.FeedOrders, Records: []registry.Record{{Key: "drain", Value: []byte("x"), Offset: 1}}, From: 1, Head: 2})
}

// setAll sets a flag of the endpoints of a service, or of all services if it is "".
func (h *harness) setAll(flags map[routing.EndpointID]bool, service ticket.ServiceName, value bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, list := range h.registry.View().Endpoints {
		for _, e := range list {
			if service == "" || name == service {
				flags[e.ID] = value
			}
		}
	}
}

// setZone sets a flag of the endpoints of a zone.
func (h *harness) setZone(flags map[routing.EndpointID]bool, zone ticket.ZoneName, value bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, list := range h.registry.View().Endpoints {
		for _, e := range list {
			if e.Zone == zone {
				flags[e.ID] = value
			}
		}
	}
}

// TestReadiness guards against an instance in a zone that is cut off while its own endpoints are
// drained (1,605 requests were refused that other zones could have served), and against a check
// that fails on all instances at once because a service is down everywhere.
func TestReadiness(t *testing.T) {
	rows := []struct {
		name  string
		setUp func(h *harness)
		fails bool
	}{
		{"no fault, no observations", func(*harness) {}, false},
		{"own zone drained, others cut off", func(h *harness) { h.drainZone("a"); h.setAll(h.dead, "", true) }, true},
		{"everything out of reach", func(h *harness) { h.setAll(h.dead, "", true) }, true},
		{"own zone drained, others in reach", func(h *harness) { h.drainZone("a") }, false},
		{"others cut off, own zone in reach", func(h *harness) {
			h.setAll(h.dead, "", true)
			for i := range 4 {
				h.dead[routing.EndpointID(fmt.Sprint("plain", i))] = false
			}
		}, false},
		{"all endpoints of one service crashed", func(h *harness) { h.setAll(h.refusing, "plain", true) }, false},
		{"the only zone of one service lost power", func(h *harness) {
			h.drainZone("a")
			h.setZone(h.dead, "b", true)
			h.setZone(h.refusing, "c", true)
		}, false},
		{"all hosts of one service are down", func(h *harness) { h.setAll(h.dead, "plain", true) }, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.addZones("b", "c")
				h.respond = func(_ int, a *Attempt) (*Response, error) {
					switch {
					case h.dead[a.Endpoint.ID]:
						time.Sleep(150 * time.Millisecond)
						return nil, failWith(KindNotSent)
					case h.refusing[a.Endpoint.ID]:
						return nil, failWith(KindRefused)
					}
					return plainResponse(200), nil
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if !h.CanServe() {
					t.Error("a fresh instance is not ready")
				}
				row.setUp(h)
				go h.WatchReach(ctx)
				var last *callerView
				failedAt := time.Duration(0)
				for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(200 * time.Millisecond) {
					last = h.serve(ctx, "/safe/x", nil)
					if failedAt == 0 && !h.CanServe() {
						failedAt = time.Since(start)
					}
				}
				if (failedAt > 0) != row.fails || failedAt > 0 && failedAt < time.Second || failedAt > 5*time.Second {
					t.Errorf("the check failed after %v, want %v", failedAt, row.fails)
				}
				if row.fails != last.CloseConnection || row.fails != (!h.CanServe()) || row.fails && last.Status != http.StatusServiceUnavailable {
					t.Errorf("after 10 s: status %d, closes %v, ready %v", last.Status, last.CloseConnection, h.CanServe())
				}
				h.setAll(h.dead, "", false)
				time.Sleep(1300 * time.Millisecond)
				if !h.CanServe() {
					t.Error("not ready 1.3 s after the endpoints are in reach again, without requests")
				}
				if c := h.serve(ctx, "/safe/x", nil); row.fails && (c.Status != http.StatusOK || c.CloseConnection) {
					t.Errorf("then: status %d, closes %v", c.Status, c.CloseConnection)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestResponseEndsOutOfReach guards against an instance that stays not ready although an endpoint
// responds.
func TestResponseEndsOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.respond = func(int, *Attempt) (*Response, error) { return nil, failWith(KindNotSent) }
		for range 20 {
			h.serve(t.Context(), "/safe/x", nil)
			h.CanServe()
			time.Sleep(200 * time.Millisecond)
		}
		if h.CanServe() {
			t.Fatal("ready although no endpoint can be reached")
		}
		time.Sleep(4 * time.Second)
		h.respond = func(int, *Attempt) (*Response, error) { return plainResponse(200), nil }
		if c := h.serve(t.Context(), "/safe/x", nil); c.Status != http.StatusOK || !h.CanServe() {
			t.Errorf("status %d, ready %v", c.Status, h.CanServe())
		}
	})
}

// TestOutOfReachReturnTime guards against callers that are told to return before the load balancer
// has noticed that this instance cannot serve: they are refused again, and most return only once.
func TestOutOfReachReturnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.respond = func(int, *Attempt) (*Response, error) { return nil, failWith(KindNotSent) }
		for range 4 {
			h.serve(t.Context(), "/note/x", nil)
		}
		for _, row := range []struct {
			path string
			want clock.Millis
		}{{"/note/x", takeoverTime}, {"/safe/x", 800 / 3}} {
			c := h.serve(t.Context(), row.path, nil)
			if c.Status != http.StatusServiceUnavailable || c.RetryAfter < row.want-100 || c.RetryAfter > row.want {
				t.Errorf("%s: status %d, Retry-After %d ms, want about %d", row.path, c.Status, c.RetryAfter, row.want)
			}
		}
	})
}
