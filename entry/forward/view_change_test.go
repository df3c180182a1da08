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
func (b *harness) changeEndpoints(release catalog.Release, slots int) {
	head, _ := b.registry.Head(registry.FeedEndpoints)
	batch := registry.Batch{Feed: registry.FeedEndpoints, From: head, Head: head}
	for i := range 4 {
		id := fmt.Sprint("plain", i)
		batch.Records = append(batch.Records, registry.Record{Key: id, Value: fmt.Appendf(nil, "%s %d", release, slots), Offset: batch.Head})
		batch.Head++
	}
	b.registry.Merge(batch)
}

// decodeChanges makes the registry decode the records that changeEndpoints writes.
func (b *harness) decodeChanges() {
	decode := b.registry.Decode
	b.registry.Decode = func(r *registry.Record) (registry.Fact, error) {
		e := &catalog.Endpoint{ID: routing.EndpointID(r.Key), Born: 1, Service: "plain", Zone: "a"}
		if n, _ := fmt.Sscanf(string(r.Value), "%s %d", &e.Release, &e.Slots); n < 2 {
			return decode(r)
		}
		return registry.Fact{Endpoint: e}, nil
	}
}

// TestEndpointChangesDuringRequest updates endpoint records while one of the endpoints
// responds. The response must count for the release to which the request was sent.
func TestEndpointChangesDuringRequest(t *testing.T) {
	b := newHarness()
	b.decodeChanges()
	b.respond = func(n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			b.changeEndpoints("v2", 6)
			b.serve(t.Context(), "/safe/x", nil) // It syncs the new view.
		}
		return plainResponse(200), nil
	}
	b.serve(t.Context(), "/safe/x", func(r *Request) { r.Session = "s" })
	if got := b.releases.sessions["s"].release; got != "v1" {
		t.Errorf("the session is pinned to %q, but its request was sent to v1", got)
	}
}

// TestEndpointsChangeUnderLoad gives the race detector requests that run while their
// view changes.
func TestEndpointsChangeUnderLoad(t *testing.T) {
	b := newHarness()
	b.decodeChanges()
	b.deps.Sender.Send = func(_ context.Context, a *Attempt) (*Response, error) {
		if a.Endpoint.Slots%3 == 0 {
			return nil, failWith(KindBroken)
		}
		return plainResponse(200), nil
	}
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for range 100 {
				b.serve(t.Context(), "/safe/x", func(r *Request) { r.Session = "s" })
			}
		})
	}
	for slots := range 100 {
		b.changeEndpoints("v1", 10+slots)
	}
	callers.Wait()
}
