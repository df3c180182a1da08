package forward

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fairshare"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/routing"
)

// newFairHarness returns a harness whose requests take 100 ms, with enough of them served to know
// that, and where it logs.
func newFairHarness(t *testing.T) (*harness, *bytes.Buffer) {
	log := &bytes.Buffer{}
	h := buildHarness("i", network{}, hclog.New(&hclog.LoggerOptions{Output: log}))
	h.respond = func(int, *Attempt) (*Response, error) {
		time.Sleep(100 * time.Millisecond)
		return plainResponse(http.StatusOK), nil
	}
	for i := range 25 {
		if got := h.ask(i); got.Status != http.StatusOK {
			t.Fatalf("status %d with free endpoints", got.Status)
		}
	}
	h.sent = nil
	return h, log
}

// ask serves a request whose content differs from the others'.
func (h *harness) ask(i int) *callerView {
	return h.serve(context.Background(), "/safe/x", func(r *Request) {
		r.ID, r.Body = RequestID(fmt.Sprint("r", i)), []byte(fmt.Sprint("body", i))
	})
}

// setPeers lets other instances have requests at each plain endpoint, and demand.
func (h *harness) setPeers(inFlight int, demand loadlist.Sum) {
	loads := loadlist.NewLoads()
	for i := range 4 {
		loads.InFlight[routing.EndpointID(fmt.Sprint("plain", i))] = inFlight
	}
	loads.Sums[loadlist.KindDemand] = demand
	h.setPeerLoads(loads)
}

// TestNoisyNeighbour guards against a workspace that takes the capacity of others: at an instance
// it sees only its own requests, which are few. Requests beyond the workspace's share are refused
// without being sent, and only while the service is short of capacity.
func TestNoisyNeighbour(t *testing.T) {
	rows := []struct {
		name string
		// inFlight is the load of each endpoint of 6 slots and 15 places. They serve 240 requests
		// a second.
		inFlight int
		demand   loadlist.Sum
		// least and most are the bounds of the number served of 50.
		least, most int
	}{
		{"free endpoints", 10, loadlist.Sum{"plain/2/w": 5000}, 50, 50},
		{"under its share", 14, loadlist.Sum{"plain/2/w": 20, "plain/2/v": 5000}, 50, 50},
		{"over its share", 14, loadlist.Sum{"plain/2/w": 5000, "plain/2/v": 100}, 0, 10},
		{"more urgent ones take it", 14, loadlist.Sum{"plain/2/w": 200, "plain/0/v": 5000}, 5, 25},
		{"less urgent ones yield", 14, loadlist.Sum{"plain/2/w": 20, "plain/3/v": 5000}, 50, 50},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, log := newFairHarness(t)
				served := 0
				for i := range 50 {
					h.setPeers(row.inFlight, row.demand)
					got := h.ask(100 + i)
					switch {
					case got.Status == http.StatusOK:
						served++
					case got.Status != http.StatusServiceUnavailable || got.Reason != ReasonOverShare || !got.LocalReply || got.RetryAfter <= 0:
						t.Fatalf("status %d, %s", got.Status, got.Reason)
					}
					time.Sleep(20 * time.Millisecond)
				}
				t.Logf("%d of 50 served", served)
				if served < row.least || served > row.most || len(h.sent) != served {
					t.Errorf("%d of 50 served, %d sent", served, len(h.sent))
				}
				logged := strings.Contains(log.String(), "outcome=over-share") && strings.Contains(log.String(), "demand-age-ms=0") && strings.Count(log.String(), "capacity-short:") == 1
				if served < 50 && !logged {
					t.Errorf("log %s", log)
				}
			})
		})
	}
}

// TestDemandIsTold checks that other instances learn the demand of each workspace and rank before
// the service is short of capacity, and not while it has much.
func TestDemandIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newFairHarness(t)
		if demand := h.localLoads().Sums[loadlist.KindDemand]; len(demand) > 0 {
			t.Errorf("told %v with free endpoints", demand)
		}
		time.Sleep(time.Second)
		h.setPeers(9, nil)
		for i := range 5 {
			h.ask(i)
		}
		if demand := h.localLoads().Sums[loadlist.KindDemand]; len(demand) != 1 || demand["plain/2/w"] != 5 {
			t.Errorf("told %v", demand)
		}
	})
}

// TestReturnTimes guards against callers that are all told the same time and return together, when
// the service is short of capacity or its endpoints are full (retry storm).
func TestReturnTimes(t *testing.T) {
	rows := []struct {
		name     string
		inFlight int
		demand   loadlist.Sum
		reason   Reason
	}{
		{"over its share", 14, loadlist.Sum{"plain/2/w": 5000, "plain/2/v": 5000}, ReasonOverShare},
		{"endpoints are full, and others wait for them", 16, loadlist.Sum{"plain/3/v": 100_000}, ReasonEndpointsFull},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, _ := newFairHarness(t)
				h.setPeers(row.inFlight, row.demand)
				seen, refused := map[clock.Millis]bool{}, 0
				for i := range 60 {
					got := h.ask(100 + i)
					if got.Reason != row.reason {
						continue
					}
					// The route's callers have 800 ms and honor a third.
					if got.RetryAfter < 150 || got.RetryAfter > 267 {
						t.Fatalf("return after %d ms", got.RetryAfter)
					}
					seen[got.RetryAfter] = true
					refused++
				}
				t.Logf("%d refused, %d times", refused, len(seen))
				if refused < 30 || 2*len(seen) < refused {
					t.Errorf("%d times for %d callers", len(seen), refused)
				}
			})
		})
	}
}

// TestDemandOfOtherInstances guards against shares that leave out what others are asked for, and
// against such that rest on it after the link to the others has broken.
func TestDemandOfOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network{}
		a, b := newNetworkHarness("a", n), newNetworkHarness("b", n)
		respond := func(int, *Attempt) (*Response, error) {
			time.Sleep(350 * time.Millisecond)
			return plainResponse(http.StatusOK), nil
		}
		a.respond, b.respond = respond, respond
		ctx, cut := context.WithCancel(t.Context())
		defer cut()
		for _, h := range []*harness{a, b} {
			go h.relay.Run(ctx)
		}
		time.Sleep(3 * time.Second)
		for i := range 300 { // 100 requests a second at one instance, 10 at the other. Slow responses keep the endpoints busy.
			go a.ask(1000 + i)
			if i%10 == 0 {
				go b.ask(2000 + i)
			}
			time.Sleep(10 * time.Millisecond)
		}
		group := fairshare.Request{Group: fairshare.Group{Workspace: "w", Rank: 2}, TimeLeft: 800}
		short := fairshare.Capacity{Slots: 24, Places: 60, SlotTime: 100, Room: 1}
		got := b.fairness.decide("plain", group, short, 2)
		t.Logf("demand %.0f, %d ms old", got.Demand, got.Age)
		if got.Age < 0 || got.Age > 1000 || got.Demand < 90 || got.Demand > 130 {
			t.Errorf("demand %.0f, %d ms old", got.Demand, got.Age)
		}
		cut()
		time.Sleep(1600 * time.Millisecond)
		if got := b.fairness.decide("plain", group, short, 2); got.Age != -1 || got.Demand > 20 {
			t.Errorf("demand %.0f, %d ms old without a link", got.Demand, got.Age)
		}
	})
}

// TestShortEndIsLogged guards against a single log line for all times of lacking capacity at an
// instance that reports to no others.
func TestShortEndIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, log := newFairHarness(t)
		for range 2 {
			h.setPeers(14, nil)
			h.ask(100)
			time.Sleep(3 * time.Second) // The load of others is stale by then.
			h.ask(101)
		}
		begun, ended := strings.Count(log.String(), "capacity-short:"), strings.Count(log.String(), "capacity-short-ended:")
		if begun != 2 || ended != 2 {
			t.Errorf("%d begun, %d ended", begun, ended)
		}
	})
}
