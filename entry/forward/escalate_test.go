package forward

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/cascade"
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

// TestStartOnLargest guards against a first try whose answer is dropped every time, and against
// prompts on the largest model while the endpoints are busy.
func TestStartOnLargest(t *testing.T) {
	rows := []struct {
		name       string
		confidence cascade.Confidence
		inFlight   int
		larger     bool
	}{
		{"each answer is dropped", 5, 0, true},
		{"the same, endpoints two thirds full", 5, 4, false},
		{"the answers are good", 90, 0, false},
		{"no confidence is reported", cascade.ConfidenceUnknown, 0, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				time.Sleep(time.Second) // Let the load estimates expire.
				h.respond = func(_ int, a *Attempt) (*Response, error) {
					if a.Model == small {
						return streamResponse(row.confidence, io.EOF, "1"), nil
					}
					return streamResponse(90, io.EOF, "1"), nil
				}
				starts := func(from int) (largest int) {
					for i := range 40 {
						h.fillEndpoints(row.inFlight, "")
						first := len(h.sent)
						h.serve(t.Context(), "/note/x", func(r *Request) { r.ID = RequestID(fmt.Sprint(from + i)) })
						if h.sent[first].Model == large {
							largest++
						}
					}
					return largest
				}
				if before := starts(0); before > 10 {
					t.Errorf("%d requests start on the largest model before 30 answers are known", before)
				}
				starts(40)
				if after := starts(80); row.larger != (after > 0) || row.larger && (after < 30 || after > 39) {
					t.Errorf("%d of 40 start on the largest model", after)
				}
			})
		})
	}
}

// TestStartByAnswersOfOthers guards against each instance learning alone, and against an instance
// that resumes or is cut off choosing by answers that others no longer report.
func TestStartByAnswersOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		poor := func(_ int, a *Attempt) (*Response, error) {
			if a.Model == small {
				return streamResponse(5, io.EOF, "1"), nil
			}
			return streamResponse(90, io.EOF, "1"), nil
		}
		other, h := newHarness(), newHarness()
		other.respond, h.respond = poor, poor
		for range 100 {
			other.serve(t.Context(), "/note/x", func(r *Request) { r.ID = "id0" }) // Always starts on the smallest model.
		}
		starts := func() (largest int) {
			for i := range 20 {
				first := len(h.sent)
				h.serve(t.Context(), "/note/x", func(r *Request) { r.ID = RequestID(fmt.Sprint("id", i)) })
				if h.sent[first].Model == large {
					largest++
				}
			}
			return largest
		}
		h.relay.OnRemoteLoads(other.relay.LocalLoads())
		if got := starts(); got < 15 {
			t.Errorf("%d of 20 start on the largest model by the answers of another instance", got)
		}
		first := len(h.sent)
		h.serve(t.Context(), "/note/x", func(r *Request) { r.ID, r.LastEventID = "id1", "1" })
		if h.sent[first].Model != small {
			t.Error("a stream that its caller resumes starts on another model than it began on")
		}
		time.Sleep(2 * time.Second)
		if got := starts(); got > 0 {
			t.Errorf("%d of 20 start on the largest model 2 s after the last report", got)
		}
	})
}
