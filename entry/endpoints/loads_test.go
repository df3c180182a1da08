package endpoints

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// newTestTracker returns a tracker of one of two instances and a view of two endpoints.
func newTestTracker() (*Tracker, *registry.State, *catalog.Service) {
	t := New(Dependencies{
		Clock: clock.New(), Random: rand.New(rand.NewPCG(1, 2)), Logger: hclog.NewNullLogger(),
		Instances: func() int { return 2 }, RetryLimits: func() RetryLimits { return RetryLimits{} },
	})
	service := &catalog.Service{Name: "engines"}
	view := &registry.State{Version: 1}
	view.Endpoints = map[ticket.ServiceName][]*catalog.Endpoint{}
	for i := range 2 {
		e := &catalog.Endpoint{ID: routing.EndpointID(fmt.Sprint("e", i)), Service: service.Name, Slots: 16}
		view.Endpoints[service.Name] = append(view.Endpoints[service.Name], e)
	}
	return t, view, service
}

// sendPrompt places a request of the given prompt tokens. If it is read, the request
// has ended.
func sendPrompt(t *testing.T, tracker *Tracker, view *registry.State, service *catalog.Service, tokens int, read bool) *placement.State {
	t.Helper()
	parts := []placement.Part{{ID: "own", Tokens: tokens}}
	q := &placement.Query{Parts: parts, RelativeCost: 0.5, MaxUtilization: 2, Accept: func(*catalog.Endpoint) bool { return true }}
	choice := tracker.Choose(view, service, q)
	if choice.State == nil {
		t.Fatal(choice.Reason)
	}
	if read {
		tracker.PromptRead(choice.State, parts, "m", 0.5*float64(tokens))
		tracker.AttemptEnded(EndedAttempt{State: choice.State, Service: service.Name})
	}
	return choice.State
}

// TestLocalBacklog checks that an instance tells the others which endpoints read its long prompts,
// that these avoid them until the prompt is read, and that it tells nothing where prompts are
// alike or would be read before the others learn of them.
func TestLocalBacklog(t *testing.T) {
	tracker, view, service := newTestTracker()
	other, _, _ := newTestTracker()
	for i := range 40 {
		sendPrompt(t, tracker, view, service, 12_000, i < 39)
	}
	if got := tracker.LocalLoads().Sums[loadlist.KindPrefill]; len(got) > 0 {
		t.Errorf("reports %v of prompts that are alike", got)
	}
	for i := range 300 {
		tokens := 800
		if i%20 == 0 {
			tokens = 50_000
		}
		sendPrompt(t, tracker, view, service, tokens, true)
		sendPrompt(t, other, view, service, tokens, true)
	}
	// The prompts of equal length were told nowhere while one of them is still unread.
	sendPrompt(t, tracker, view, service, 800, false)
	long := sendPrompt(t, tracker, view, service, 50_000, false)
	told := tracker.LocalLoads()
	if got := told.Sums[loadlist.KindPrefill][loadlist.Key(long.Endpoint.ID)]; got < 25_000/loadlist.PrefillUnit {
		t.Errorf("reports a backlog of %d at %s: %v", got, long.Endpoint.ID, told)
	}
	placedThere := func() (n int) {
		for range 40 {
			if s := sendPrompt(t, other, view, service, 800, true); s.Endpoint.ID == long.Endpoint.ID {
				n++
			}
		}
		return n
	}
	other.SetPeerLoads(told)
	if n := placedThere(); n > 0 {
		t.Errorf("%d of 40 short prompts are placed behind the long one of another instance", n)
	}
	tracker.PromptRead(long, nil, "m", 25_000)
	other.SetPeerLoads(tracker.LocalLoads())
	if n := placedThere(); n < 5 {
		t.Errorf("%d of 40 short prompts are placed at the endpoint once it has read the long one", n)
	}
}
