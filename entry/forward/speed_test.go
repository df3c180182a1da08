package forward

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"foxtailbridge/entry/endpoints"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
)

// Guards against prompts that are weighed, and waited for, by the assumed speed of other engines
// (load pattern: head-of-line blocking), and against a speed that is learned from responses that
// say nothing of it.
func TestReadRateIsLearned(t *testing.T) {
	light := placement.Load{Running: 1, Slots: 6}
	rows := []struct {
		name    string
		load    *placement.Load
		change  func(*Request)
		learned bool
	}{
		{"light load", &light, nil, true},
		{"half full", &placement.Load{Running: 3, Slots: 6}, nil, false},
		{"slow for the moment", &placement.Load{Running: 1, Slots: 6, Slowdown: 2.5}, nil, false},
		{"no load reported", nil, nil, false},
		{"a model that the caller chose", &light, func(r *Request) { r.AnyModel = false }, false},
		{"a resumed stream", &light, func(r *Request) { r.LastEventID = "1" }, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				h := newEndpointLogHarness(&log)
				h.respond = func(n int, a *Attempt) (*Response, error) {
					weighted := 0.016 / 0.24 * float64(placement.Tokens(a.Request.PromptParts))
					time.Sleep(time.Duration((20 + weighted/140) * float64(time.Millisecond)))
					response := streamResponse(90, io.EOF, "2", "3")
					response.Load = row.load
					return response, nil
				}
				h.serve(t.Context(), "/note/x", nil) // The endpoints are first seen here.
				time.Sleep(warmupSpan.Duration())
				assumed := h.busyReadTime(60000)
				for i := range 80 {
					h.serve(t.Context(), "/note/x", func(r *Request) {
						r.PromptParts = []placement.Part{{ID: placement.PartID(fmt.Sprint("own", i)), Tokens: 2000 * (1 + i%40)}}
						if row.change != nil {
							row.change(r)
						}
					})
				}
				scale := h.endpoints.ReadScale("engines", small)
				if learned := scale > 2; learned != row.learned || !learned && scale != 1 {
					t.Errorf("reads %.2f times as fast as assumed", scale)
				}
				view := h.registry.View()
				q := &placement.Query{Accept: func(*catalog.Endpoint) bool { return true }, MaxUtilization: 1}
				h.endpoints.Peek(view, view.Config.Services["engines"], q)
				if weighs := q.ReadRate > 70; weighs != row.learned || !weighs && q.ReadRate != placement.StartReadRate {
					t.Errorf("endpoints are chosen as if they read %.1f tokens a ms", q.ReadRate)
				}
				if lines := strings.Count(log.String(), "read-rate"); (lines == 1) != row.learned {
					t.Errorf("%d lines on the rate:\n%s", lines, log.String())
				}
				if shorter := h.busyReadTime(60000) < assumed/2; shorter != row.learned {
					t.Errorf("a busy engine reads a long prompt in %v, %v before", h.busyReadTime(60000), assumed)
				}
			})
		})
	}
}

// busyReadTime returns how long a busy engine is assumed to read a prompt.
func (h *harness) busyReadTime(tokens int) clock.Millis {
	parts := []placement.Part{{ID: "own", Tokens: tokens}}
	t := &task{Forwarder: h.Forwarder, request: &Request{PromptParts: parts}, model: small, service: h.registry.View().Config.Services["engines"]}
	return t.busyReadTime()
}

// Guards against an operator who can't see which endpoint is always slower than its peers (load
// pattern: slow endpoint).
func TestSlowerEndpointIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		h := newEndpointLogHarness(&log)
		view := h.registry.View()
		load := placement.Load{Running: 1, Slots: 6}
		for range 60 {
			for i, e := range view.Endpoints["engines"] {
				q := &placement.Query{Accept: func(other *catalog.Endpoint) bool { return other == e }, MaxUtilization: 1}
				choice := h.endpoints.Peek(view, view.Config.Services["engines"], q)
				delay := clock.Millis(100)
				if i == 2 {
					delay = 180
				}
				h.endpoints.LearnSpeed(endpoints.StartedResponse{State: choice.State, Service: "engines", Model: small, Delay: delay, Load: &load})
			}
			time.Sleep(100 * time.Millisecond)
		}
		want := fmt.Sprintf("endpoint-speed: endpoint=%s service=engines slower=true", view.Endpoints["engines"][2].ID)
		if strings.Count(log.String(), "endpoint-speed") != 1 || !strings.Contains(log.String(), want) {
			t.Errorf("the log:\n%s", log.String())
		}
	})
}

// Guards against an endpoint that is avoided for minutes because it was slow for half a second
// (load pattern: slow endpoint).
func TestSlowSpellLeavesNoTrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		delay, load := 100*time.Millisecond, placement.Load{Running: 1, Slots: 6, Slowdown: 1}
		h.respond = func(_ int, _ *Attempt) (*Response, error) {
			time.Sleep(delay)
			response, reported := streamResponse(90, io.EOF, "1"), load
			response.Load = &reported
			return response, nil
		}
		serve := func(n int) {
			for range n {
				h.serve(t.Context(), "/note/x", nil)
			}
		}
		serve(1)
		time.Sleep(warmupSpan.Duration())
		serve(60)
		view := h.registry.View()
		ratios := func() (sum float64) {
			for _, e := range view.Endpoints["engines"] {
				q := &placement.Query{Accept: func(other *catalog.Endpoint) bool { return other == e }, MaxUtilization: 1}
				sum += h.endpoints.Peek(view, view.Config.Services["engines"], q).State.LatencyRatio.Mean
			}
			return sum
		}
		before := ratios()
		delay, load.Slowdown = 250*time.Millisecond, 2.5
		serve(8)
		if after := ratios(); after > before+0.01 {
			t.Errorf("the endpoints' mean delays rose from %.2f to %.2f", before, after)
		}
	})
}
