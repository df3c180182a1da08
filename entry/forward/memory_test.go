package forward

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/routing"
)

// Guards against two long prompts at one engine whose memory holds one (load pattern:
// head-of-line blocking), and against tokens that stay counted after a request has ended.
func TestEngineMemory(t *testing.T) {
	rows := []struct {
		name string
		// capacity is the engines' memory; a request takes 11,300 tokens.
		capacity int
		apart    bool
	}{
		{"one fits", 20_000, true},
		{"both fit", 40_000, false},
		{"not known", 0, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				h := newEndpointLogHarness(&log)
				view := h.registry.View()
				view.Config.Services["engines"].Engine.KVCapacity = row.capacity
				var used []routing.EndpointID
				h.respond = func(n int, a *Attempt) (*Response, error) {
					used = append(used, a.Endpoint.ID)
					if n == 1 {
						// The prompt has the same shared part, and so the same home.
						h.serve(t.Context(), "/note/x", nil)
					}
					return streamResponse(90, io.EOF, "1"), nil
				}
				h.serve(t.Context(), "/note/x", nil)
				if len(used) != 2 || (used[0] != used[1]) != row.apart {
					t.Errorf("the requests ran at %v", used)
				}
				if logged := strings.Contains(log.String(), "memory-short: service=engines short=1"); logged != row.apart {
					t.Errorf("the log:\n%s", log.String())
				}
				for _, e := range view.Endpoints["engines"] {
					q := &placement.Query{Accept: func(other *catalog.Endpoint) bool { return other == e }, MaxUtilization: 1}
					if s := h.endpoints.Peek(view, view.Config.Services["engines"], q).State; s.OwnTokens != 0 || s.OwnInFlight != 0 {
						t.Errorf("%s: %d tokens of %d requests are left", e.ID, s.OwnTokens, s.OwnInFlight)
					}
				}
			})
		})
	}
}
