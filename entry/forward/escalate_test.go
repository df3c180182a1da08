package forward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/ticket"
)

// newRankedHarness returns a harness with a route of long requests of rank 2, /low/, beside the
// urgent route /note/ on the same engines.
func newRankedHarness() *harness {
	h := newHarness()
	low := *routes[2]
	low.Name, low.Prefix, low.Rank, low.FirstByteGoal = "low", "/low/", 2, 6000
	config := *h.registry.View().Config
	services := []*catalog.Service{config.Services["plain"], config.Services["engines"]}
	workspaces := []*catalog.Workspace{{Name: "w", Keys: []catalog.APIKey{"key"}}}
	h.objects["configy"] = registry.Object{Config: catalog.NewConfig(2, append([]*catalog.Route{&low}, routes...), services, workspaces, true, catalog.Limits{})}
	h.registry.Merge(registry.Batch{Feed: registry.FeedOrders, Records: []registry.Record{{Key: "config", Value: []byte("y"), Offset: 1}}, From: 1, Head: 2})
	return h
}

// models returns the models of the attempts since the first-th.
func (h *harness) models(first int) (models []ticket.ModelName) {
	for _, a := range h.sent[first:] {
		models = append(models, a.Model)
	}
	return models
}

// TestEscalationOfLowRank guards against long requests of a low rank keeping answers that are too
// poor, and against their second runs while urgent requests of the service are late (head-of-line
// blocking).
func TestEscalationOfLowRank(t *testing.T) {
	rows := []struct {
		name        string
		urgentDelay time.Duration
		runs        int
	}{
		{"urgent requests are in time", 100 * time.Millisecond, 2},
		{"urgent requests are late", 900 * time.Millisecond, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newRankedHarness()
				h.respond = func(_ int, a *Attempt) (*Response, error) {
					if a.Request.Path == "/note/x" {
						time.Sleep(row.urgentDelay)
						return streamResponse(90, io.EOF, "1"), nil
					}
					if a.Model == small {
						return streamResponse(35, io.EOF, "1"), nil
					}
					return streamResponse(90, io.EOF, "1"), nil
				}
				for range 4 {
					h.serve(t.Context(), "/note/x", nil)
				}
				first := len(h.sent)
				h.serve(t.Context(), "/low/x", nil)
				if got := h.models(first); len(got) != row.runs {
					t.Errorf("runs on %v, want %d", got, row.runs)
				}
			})
		})
	}
}
