package callerhttp_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"foxtailbridge/entry/instance"
	"foxtailbridge/link/endpoint"
	"foxtailbridge/link/peer"
	"foxtailbridge/link/platform"
	"foxtailbridge/link/settings"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/gate"
	"foxtailbridge/policy/ticket"
	"foxtailbridge/standin/applog"
	"foxtailbridge/standin/engine"
	"foxtailbridge/standin/listing"
	"foxtailbridge/standin/rating"
)

const firstTicket = `{"nonce":"n","ticket":{"ticket":1,"author":"test",
"versions":[{"ref":"small@1","state":"active","cost-micros":100,"quality":0.9}],
"workspaces":[{"name":"desk","state":"active","allowed":["small@1"],"quality-target":0.5,
"priority":"urgent","share":1,"max-in-flight":64,"deadline-ms":10000}]}}`

// startInstance starts an instance and an engine on loopback and returns the base URL for callers.
func startInstance(t *testing.T) string {
	c := clock.New()
	log := applog.New(c, applog.DefaultRetention)
	if _, err := log.Append(context.Background(), platform.StreamConfig, []byte(firstTicket)); err != nil {
		t.Fatal(err)
	}
	engineServer := httptest.NewServer(engine.New(engine.Config{ID: "e", Version: "small@1", Slots: 4}, c).Handler())
	t.Cleanup(engineServer.Close)
	directory := listing.New(c, platform.Listing{Endpoints: []platform.EndpointListing{{
		ID: "e", Zone: "a", Kind: platform.EndpointEngine, URL: engineServer.URL, Version: "small@1", Presence: platform.PresenceLive,
	}}})
	config := &settings.Entry{Instance: "one", Zone: ticket.ZoneName("a"), ClaimPartitions: 1, Keys: settings.Keys{
		Callers:  []settings.CallerKey{{Workspace: "desk", Key: "desk-key"}},
		Sessions: []settings.SessionKey{{ID: "k1", Secret: "session-secret"}},
	}}
	clients := instance.ExternalClients{
		Log: log.Client(), Directory: directory.Client(), Ratings: rating.New(c).Client("one"),
		Connect: func(l platform.EndpointListing, observe func(*endpoint.Load), observeBoot func(gate.BootID)) *endpoint.Endpoint {
			return endpoint.New(l.URL, endpoint.WithObserveLoad(observe), endpoint.WithObserveBoot(observeBoot))
		},
		Dial: func(platform.InstanceListing) *peer.Client { return nil },
	}
	logger := hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	i, err := instance.New(config, clients, c, logger, tally.NoopScope, instance.Options{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go i.Run(ctx)
	server := httptest.NewServer(i.Callers.Handler())
	t.Cleanup(server.Close)
	for !i.Ready() || !i.Pool.Serving("small@1") {
		time.Sleep(time.Millisecond)
	}
	return server.URL
}

func TestOpenAIClient(t *testing.T) {
	url := startInstance(t)
	client := openai.NewClient(option.WithBaseURL(url+"/v1/"), option.WithAPIKey("desk-key"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:     "small",
		MaxTokens: openai.Int(6),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("where is lot 7")},
	}
	Convey("An unmodified OpenAI client works", t, func() {
		completion, err := client.Chat.Completions.New(context.Background(), params)
		So(err, ShouldBeNil)
		So(strings.Fields(completion.Choices[0].Message.Content), ShouldHaveLength, 6)
		So(completion.Usage.CompletionTokens, ShouldEqual, 6)

		params := params
		params.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := client.Chat.Completions.NewStreaming(context.Background(), params)
		var accumulator openai.ChatCompletionAccumulator
		for stream.Next() {
			So(accumulator.AddChunk(stream.Current()), ShouldBeTrue)
		}
		So(stream.Err(), ShouldBeNil)
		So(accumulator.Choices[0].Message.Content, ShouldEqual, completion.Choices[0].Message.Content)
		So(accumulator.Usage.CompletionTokens, ShouldEqual, 6)

		models, err := client.Models.List(context.Background())
		So(err, ShouldBeNil)
		So(len(models.Data), ShouldEqual, 3)
	})
	Convey("The client decodes problem responses", t, func() {
		params := params
		params.Model = "huge"
		_, err := client.Chat.Completions.New(context.Background(), params)
		var apiErr *openai.Error
		So(errors.As(err, &apiErr), ShouldBeTrue)
		So(apiErr.Code, ShouldEqual, "unknown-model")
		So(apiErr.Message, ShouldContainSubstring, "huge")
	})
	Convey("A header line that net/http rejects does not reach a handler", t, func() {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		So(err, ShouldBeNil)
		defer conn.Close()
		_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Class: a\x00b\r\n\r\n"))
		So(err, ShouldBeNil)
		response := make([]byte, 64)
		n, _ := conn.Read(response)
		So(string(response[:n]), ShouldContainSubstring, "400")
	})
	Convey("The load balancer's health checks respond", t, func() {
		for _, path := range []string{"/healthz", "/readyz"} {
			response, err := http.Get(url + path)
			So(err, ShouldBeNil)
			response.Body.Close()
			So(response.StatusCode, ShouldEqual, http.StatusOK)
		}
	})
}
