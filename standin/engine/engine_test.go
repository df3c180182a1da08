package engine

import (
	"context"
	"net/http/httptest"
	"testing"

	"foxtailbridge/link/endpoint"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
)

// TestEndlessFaults guards against endless streams that fail with a different error over
// the network than through the in-process client.
func TestEndlessFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		kind   endpoint.Kind
		tokens int
	}{
		{"without text", Faults{EndlessNext: 1, TruncateAfter: 2}, endpoint.KindFailed, 2},
		{"with text", Faults{OverrunNext: 1}, endpoint.KindOverrun, 5},
	}
	for _, tc := range cases {
		for _, network := range []bool{false, true} {
			t.Run(tc.name, func(t *testing.T) {
				e := New(Config{ID: "e", Version: "small@1", Slots: 1}, clock.New())
				e.SetFaults(tc.faults)
				client := e.Client(func(*endpoint.Load) {})
				if network {
					server := httptest.NewServer(e.Handler())
					defer server.Close()
					client = endpoint.New(server.URL)
				}
				tokens := 0
				request := &endpoint.StreamRequest{Body: []byte(`{"model":"small","max_tokens":5,"messages":[{"role":"user","content":"x"}]}`), MaxTokens: 5}
				_, err := client.Stream(context.Background(), &endpoint.Attempt{ID: "1"}, request, func(string) error { tokens++; return nil })
				if kind := fault.KindOf[endpoint.Kind](err); kind != tc.kind || tokens != tc.tokens {
					t.Errorf("network %v: kind %q, %d tokens, want %q, %d: %v", network, kind, tokens, tc.kind, tc.tokens, err)
				}
			})
		}
	}
}
