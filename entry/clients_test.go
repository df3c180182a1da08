package main

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"foxtailbridge/entry/instance"
	"foxtailbridge/link/peer"
	"foxtailbridge/link/peer/peerv1"
	"foxtailbridge/link/platform"
	"foxtailbridge/link/settings"
	"foxtailbridge/link/socket/sockettest"
)

// TestBrokenResponses guards against broken responses of the platform and of peers that count as
// successes.
func TestBrokenResponses(t *testing.T) {
	ctx := context.Background()
	dial := func(c instance.ExternalClients, address string) *peer.Client {
		return c.Dial(platform.InstanceListing{Peer: address})
	}
	calls := []struct {
		name, contentType, body string
		call                    func(c instance.ExternalClients, address string) error
	}{
		{"log append", "application/json", `{"offset":5}`, func(c instance.ExternalClients, _ string) error {
			_, err := c.Log.Append(ctx, platform.StreamBills, make([]byte, 4<<20))
			return err
		}},
		{"log read", "application/json", `{}`, func(c instance.ExternalClients, _ string) error {
			_, err := c.Log.Read(ctx, platform.StreamBills, 0, 1, 0)
			return err
		}},
		{"directory", "application/json", `{}`, func(c instance.ExternalClients, _ string) error {
			_, err := c.Directory.List(ctx)
			return err
		}},
		{"answers for rating", "application/json", "", func(c instance.ExternalClients, _ string) error {
			return c.Ratings.Submit(ctx, []platform.Answer{{Text: strings.Repeat("a", 4<<20)}})
		}},
		{"bills held by a peer", "application/proto", "", func(c instance.ExternalClients, address string) error {
			_, err := dial(c, address).HoldBills(ctx, &peerv1.HoldBillsRequest{Owner: strings.Repeat("o", 4<<20)})
			return err
		}},
	}
	type response struct {
		name, head string
		reset      bool
	}
	responses := []response{{"reset", sockettest.OK, true}}
	for _, invalid := range sockettest.InvalidHeads {
		responses = append(responses, response{invalid.Name, invalid.Head, false})
	}
	for _, call := range calls {
		for _, response := range responses {
			t.Run(call.name+", "+response.name, func(t *testing.T) {
				head := response.head + "Content-Type: " + call.contentType + "\r\n"
				server := httptest.NewServer(sockettest.Response{Head: head, Body: call.body, Reset: response.reset})
				defer server.Close()
				s := &settings.Entry{}
				s.Platform.Log, s.Platform.Directory, s.Platform.Ratings = server.URL, server.URL, server.URL
				passed := 0
				const requests = 10 // Either the write or the read receives a reset.
				for range requests {
					if call.call(externalClients(s), strings.TrimPrefix(server.URL, "http://")) == nil {
						passed++
					}
				}
				if passed > 0 {
					t.Errorf("%d of %d broken responses counted as successes", passed, requests)
				}
			})
		}
	}
}
