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

// serveOne starts an instance and an engine on loopback and returns the base URL for callers.
func serveOne(t *testing.T) string {
	c := clock.New()
	log := applog.New(c, applog.DefaultRetention)
	if _, err := log.Append(context.Background(), platform.StreamConfig, []byte(firstTicket)); err != nil {
		t.Fatal(err)
	}
	e := httptest.NewServer(engine.New(engine.Config{ID: "e", Version: "small@1", Slots: 4}, c).Handler())
	t.Cleanup(e.Close)
	directory := listing.New(c, platform.Listing{Endpoints: []platform.EndpointListing{{
		ID: "e", Zone: "a", Kind: platform.EndpointEngine, URL: e.URL, Version: "small@1", Presence: platform.PresenceLive,
	}}})
	s := &settings.Entry{Instance: "one", Zone: ticket.ZoneName("a"), ClaimPartitions: 1, Keys: settings.Keys{
		Callers:  []settings.CallerKey{{Workspace: "desk", Key: "desk-key"}},
		Sessions: []settings.SessionKey{{ID: "k1", Secret: "session-secret"}},
	}}
	out := instance.ExternalClients{
		Log: log.Client(), Directory: directory.Client(), Ratings: rating.New(c).Client("one"),
		Connect: func(l platform.EndpointListing, observe func(*endpoint.Load), see func(gate.BootID)) *endpoint.Endpoint {
			return endpoint.New(l.URL, endpoint.WithObserveLoad(observe), endpoint.WithObserveBoot(see))
		},
		Dial: func(platform.InstanceListing) *peer.Client { return nil },
	}
	logger := hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	i, err := instance.New(s, out, c, logger, tally.NoopScope, instance.Options{})
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

func TestStockClient(t *testing.T) {
	url := serveOne(t)
	client := openai.NewClient(option.WithBaseURL(url+"/v1/"), option.WithAPIKey("desk-key"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:     "small",
		MaxTokens: openai.Int(6),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("where is lot 7")},
	}
	Convey("A stock OpenAI client works unchanged", t, func() {
		whole, err := client.Chat.Completions.New(context.Background(), params)
		So(err, ShouldBeNil)
		So(strings.Fields(whole.Choices[0].Message.Content), ShouldHaveLength, 6)
		So(whole.Usage.CompletionTokens, ShouldEqual, 6)

		params := params
		params.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := client.Chat.Completions.NewStreaming(context.Background(), params)
		var sum openai.ChatCompletionAccumulator
		for stream.Next() {
			So(sum.AddChunk(stream.Current()), ShouldBeTrue)
		}
		So(stream.Err(), ShouldBeNil)
		So(sum.Choices[0].Message.Content, ShouldEqual, whole.Choices[0].Message.Content)
		So(sum.Usage.CompletionTokens, ShouldEqual, 6)

		models, err := client.Models.List(context.Background())
		So(err, ShouldBeNil)
		So(len(models.Data), ShouldEqual, 3)
	})
	Convey("It understands refusals", t, func() {
		params := params
		params.Model = "huge"
		_, err := client.Chat.Completions.New(context.Background(), params)
		var refusal *openai.Error
		So(errors.As(err, &refusal), ShouldBeTrue)
		So(refusal.Code, ShouldEqual, "unknown-model")
		So(refusal.Message, ShouldContainSubstring, "huge")
	})
	Convey("A header line that net/http refuses does not reach a handler", t, func() {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		So(err, ShouldBeNil)
		defer conn.Close()
		_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Class: a\x00b\r\n\r\n"))
		So(err, ShouldBeNil)
		answer := make([]byte, 64)
		n, _ := conn.Read(answer)
		So(string(answer[:n]), ShouldContainSubstring, "400")
	})
	Convey("The balancer's paths answer", t, func() {
		for _, path := range []string{"/healthz", "/readyz"} {
			response, err := http.Get(url + path)
			So(err, ShouldBeNil)
			response.Body.Close()
			So(response.StatusCode, ShouldEqual, http.StatusOK)
		}
	})
}
