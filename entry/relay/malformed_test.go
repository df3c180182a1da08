package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/ticket"
)

// TestMalformedMessages sends an instance messages of which each value was replaced by one of
// another kind or size. None may end the process, which merges responses outside the HTTP
// server's protection, or keep the instance from serving the next message.
func TestMalformedMessages(t *testing.T) {
	r := newRelay(nil)
	r.deps.Registry.Decode = func(*registry.Record) (registry.Object, error) { return registry.Object{}, nil }
	sample := Message{
		From: Member{Name: "b", Zone: "z", Address: "b", RunID: "1", Capacity: 800}, Members: []MemberEntry{{Member: Member{Name: "c", Zone: "y"}, Age: 3}},
		WantsMembers: true, ZoneCounts: map[ticket.ZoneName]ZoneCount{"z": {Count: 2, Age: 5}}, Heads: map[registry.Feed]registry.Offset{registry.FeedOrders: 3},
		Config:      &registry.ConfigID{Revision: 1, End: 3},
		Batches:     []registry.Batch{{Feed: registry.FeedOrders, Records: []registry.Record{{Feed: registry.FeedOrders, Key: "k", Offset: 2, Value: []byte("x")}}, Head: 3}},
		OrderStarts: []registry.OrderStart{{Key: "k", Offset: 2, Age: 4}}, Removals: []registry.Removal{{Key: "e", Offset: 2, StartedAt: 5, Sequence: 3, Age: 4}}, Tallies: []tallyRow{{Order: 1, Arm: "to", Class: "r", Rollout: "s", Good: 3, Bad: 1}},
		Loads: loadlist.Counts{"e": 3}, Failures: loadlist.Counts{"e": 1}, LoadsScope: ScopeOwn, LoadsVersion: 1,
		Suspicions: []quarantine.Suspicion{{Digest: "d", Crash: "e"}}, PromptParts: []quarantine.PartReport{{Part: "p", Crashes: []quarantine.CrashID{"e"}}},
		LeavingEndpoints: []LeavingEndpoint{{ID: "e", StartedAt: 5}}, Holds: []SessionHold{{Order: 1, Session: 2}}, Stops: []catalog.OrderNumber{4},
		LightLoads: map[catalog.OrderNumber]*rollout.LightLoad{4: {Routes: []catalog.RouteName{"r"}, Start: 0.6, By: "b"}},
	}
	text, err := json.Marshal(&sample)
	if err != nil {
		t.Fatal(err)
	}
	path, handler := r.Handler()
	send := func(body []byte) int {
		request := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return recorder.Code
	}
	replacements := []any{nil, -1, 0, 1e18, "", "x", true, []any{}, []any{nil}, map[string]any{}, map[string]any{"": nil}}
	sent := 0
	for n := 0; ; n++ {
		var message any
		if err := json.Unmarshal(text, &message); err != nil {
			t.Fatal(err)
		}
		replaced, changed := replaceNth(message, n/len(replacements), replacements[n%len(replacements)])
		if !changed {
			break
		}
		body, err := json.Marshal(replaced)
		if err != nil {
			t.Fatal(err)
		}
		send(body) // A refused message is as good as an ignored one.
		sent++
	}
	for _, body := range []string{"", "{", "null", "[]", `"x"`, "\x00\xff", fmt.Sprintf(`{"from":%s}`, text)} {
		send([]byte(body))
	}
	if sent < 500 {
		t.Errorf("only %d messages", sent)
	}
	if status := send(text); status != http.StatusOK {
		t.Errorf("status %d for a sound message", status)
	}
	if n := r.InstanceCount(); n > 100 {
		t.Errorf("%d instances counted", n)
	}
}

// replaceNth replaces the n-th value of a JSON document, in the order of a walk through it.
func replaceNth(document any, n int, replacement any) (any, bool) {
	var walk func(value any) any
	at, changed := -1, false
	walk = func(value any) any {
		if at++; at == n {
			changed = true
			return replacement
		}
		switch v := value.(type) {
		case map[string]any:
			for _, key := range slices.Sorted(maps.Keys(v)) {
				v[key] = walk(v[key])
			}
		case []any:
			for i := range v {
				v[i] = walk(v[i])
			}
		}
		return value
	}
	return walk(document), changed
}
