package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/routing"
)

// changeEndpoints updates the records of the plain endpoints to the given release and
// slots.
func (h *harness) changeEndpoints(release catalog.Release, slots int) {
	head, _ := h.registry.Head(registry.FeedEndpoints)
	batch := registry.Batch{Feed: registry.FeedEndpoints, Era: head.Era, From: head.Offset, Head: head.Offset}
	for i := range 4 {
		id := fmt.Sprint("plain", i)
		batch.Records = append(batch.Records, registry.Record{Key: id, Value: fmt.Appendf(nil, "%s %d", release, slots), Offset: batch.Head})
		batch.Head++
	}
	h.registry.Merge(batch)
}

// decodeChanges makes the registry decode the records that changeEndpoints writes.
func (h *harness) decodeChanges() {
	decode := h.registry.Decode
	h.registry.Decode = func(r *registry.Record) (registry.Object, error) {
		e := &catalog.Endpoint{ID: routing.EndpointID(r.Key), StartedAt: 1, Service: "plain", Zone: "a"}
		if n, _ := fmt.Sscanf(string(r.Value), "%s %d", &e.Release, &e.Slots); n < 2 {
			return decode(r)
		}
		return registry.Object{Endpoint: e}, nil
	}
}

// TestEndpointChangesDuringRequest updates endpoint records while one of the endpoints
// responds. The response must count for the release to which the request was sent.
func TestEndpointChangesDuringRequest(t *testing.T) {
	h := newHarness()
	h.decodeChanges()
	h.respond = func(n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			h.changeEndpoints("v2", 6)
			h.serve(t.Context(), "/safe/x", nil) // It applies the new view.
		}
		return plainResponse(200), nil
	}
	h.serve(t.Context(), "/safe/x", func(r *Request) { r.Session = "s" })
	if got := h.releases.sessions["s"].release; got != "v1" {
		t.Errorf("the session is pinned to %q, but its request was sent to v1", got)
	}
}

// TestEndpointsChangeUnderLoad gives the race detector requests that run while their
// view changes.
func TestEndpointsChangeUnderLoad(t *testing.T) {
	h := newHarness()
	h.decodeChanges()
	h.deps.Sender.Send = func(_ context.Context, a *Attempt) (*Response, error) {
		if a.Endpoint.Slots%3 == 0 {
			return nil, failWith(KindBroken)
		}
		return plainResponse(200), nil
	}
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for range 100 {
				h.serve(t.Context(), "/safe/x", func(r *Request) { r.Session = "s" })
			}
		})
	}
	for slots := range 100 {
		h.changeEndpoints("v1", 10+slots)
	}
	callers.Wait()
}
