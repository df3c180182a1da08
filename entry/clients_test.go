package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"foxtailbridge/entry/instance"
	"foxtailbridge/link/peer"
	"foxtailbridge/link/peer/peerv1"
	"foxtailbridge/link/platform"
	"foxtailbridge/link/settings"
)

// TestBrokenResponses guards against broken responses of the platform and of peers that count as
// successes.
func TestBrokenResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
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
	responses := []struct {
		name, head string
		reset      bool
	}{
		{"status 000", "HTTP/1.1 000 OK\r\n", false},
		{"control byte in a field name", ok + "X\x01Odd: v\r\n", false},
		{"blank in a field name", ok + "X Odd: v\r\n", false},
		{"blank in the name of the length", ok + "Content Length: 5\r\n", false},
		{"reset", ok, true},
	}
	for _, call := range calls {
		for _, response := range responses {
			t.Run(call.name+", "+response.name, func(t *testing.T) {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if !response.reset {
						_, _ = io.Copy(io.Discard, r.Body) // The response is the same for any request.
					}
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return
					}
					defer conn.Close()
					fmt.Fprintf(conn, "%sContent-Type: %s\r\n\r\n%s", response.head, call.contentType, call.body)
					if response.reset {
						time.Sleep(5 * time.Millisecond)     // The client reads the response and waits for more.
						_ = conn.(*net.TCPConn).SetLinger(0) // Unread data resets the connection as well.
					}
				}))
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
