package engine

import (
	"context"
	"net/http/httptest"
	"testing"

	"foxtailbridge/link/endpoint"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
)

// TestEndlessFaults guards against a stand-in whose streams without end do not come
// over the network as the client without one tells them.
func TestEndlessFaults(t *testing.T) {
	rows := []struct {
		name   string
		faults Faults
		kind   endpoint.Kind
		tokens int
	}{
		{"without text", Faults{EndlessNext: 1, TruncateAfter: 2}, endpoint.KindFailed, 2},
		{"with text", Faults{OverrunNext: 1}, endpoint.KindOverrun, 5},
	}
	for _, row := range rows {
		for _, network := range []bool{false, true} {
			t.Run(row.name, func(t *testing.T) {
				e := New(Config{ID: "e", Version: "small@1", Slots: 1}, clock.New())
				e.SetFaults(row.faults)
				client := e.Client(func(*endpoint.Load) {})
				if network {
					server := httptest.NewServer(e.Handler())
					defer server.Close()
					client = endpoint.New(server.URL)
				}
				tokens := 0
				request := &endpoint.StreamRequest{Body: []byte(`{"model":"small","max_tokens":5,"messages":[{"role":"user","content":"x"}]}`), MaxTokens: 5}
				_, err := client.Stream(context.Background(), &endpoint.Attempt{ID: "1"}, request, func(string) error { tokens++; return nil })
				if kind := fault.KindOf[endpoint.Kind](err); kind != row.kind || tokens != row.tokens {
					t.Errorf("network %v: kind %q, %d tokens, want %q, %d: %v", network, kind, tokens, row.kind, row.tokens, err)
				}
			})
		}
	}
}
