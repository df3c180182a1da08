package forward

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/rollout"
)

// Guards against a log line of an aborted response that does not show whether its
// deadline had passed, or that has the level of a served request and is therefore
// dropped first.
func TestStreamLogLine(t *testing.T) {
	rows := []struct {
		name    string
		respond func() *Response
		want    []string
	}{
		{"complete", func() *Response { return streamResponse(90, io.EOF, "1") }, []string{"[INFO]", "outcome=served"}},
		{"aborted before its deadline", func() *Response { return streamResponse(90, failWith(KindOverrun), "1") }, []string{"[WARN]", "outcome=stream-cut", "left-ms=15000"}},
		{"aborted at its deadline", func() *Response {
			a := streamResponse(90, failWith(KindTimeout), "1")
			next := a.Next
			a.Next = func() (Event, error) {
				event, err := next()
				if err != nil {
					time.Sleep(15 * time.Second)
				}
				return event, err
			}
			return a
		}, []string{"[WARN]", "outcome=deadline-passed", "left-ms=0"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				h := newHarness()
				h.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
				h.respond = func(int, *Attempt) (*Response, error) { return row.respond(), nil }
				h.serve(t.Context(), "/note/x", nil)
				lines := strings.Split(strings.TrimSpace(log.String()), "\n")
				last := lines[len(lines)-1]
				for _, part := range row.want {
					if !strings.Contains(last, part) {
						t.Errorf("no %s in %s", part, last)
					}
				}
			})
		})
	}
}

// Guards against counting and logging a response of the old release as one of the new,
// because traffic moved while the request was in flight.
func TestArmIsRecordedAtSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		h := newHarness()
		h.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
		h.respond = func(int, *Attempt) (*Response, error) { return streamResponse(90, io.EOF, "1"), nil }
		const span = 20 * clock.Second
		order := h.order(5, span)
		h.serve(t.Context(), "/note/x", nil) // Starts the order's time.
		session := "a"
		for sessionBucket(order, session) < 0.9 { // Such a session moves last.
			session += "a"
		}
		time.Sleep((span*3/4 - 100).Duration())
		h.respond = func(int, *Attempt) (*Response, error) {
			time.Sleep(200 * time.Millisecond) // All traffic moves in the meantime.
			return pacedStream(minPaceEvents, 10*time.Millisecond), nil
		}
		h.serve(t.Context(), "/note/x", func(r *Request) { r.Session = session })
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		if last := lines[len(lines)-1]; !strings.Contains(last, "release=v1") || !strings.Contains(last, "arm=old") {
			t.Errorf("want a response of the old release in %s", last)
		}
		if got := h.relay.Sum(Series(order, PostCanaryPaceRoute, evidence.ArmFrom)); got.Rated() > 0 {
			t.Errorf("%+v counted as post-canary traffic", got)
		}
	})
}

// Guards against a log that does not show whether a response of a release under way was
// slow, and why a slow one did not count.
func TestDelayLogLine(t *testing.T) {
	rows := []struct {
		name    string
		elapsed clock.Millis
		delay   time.Duration
		want    string
	}{
		{"usual", 12 * clock.Second, 20 * time.Millisecond, "delay=usual usual-ms=20"},
		{"slow at a new endpoint", 2 * clock.Second, 700 * time.Millisecond, "delay=slow-warmup"},
		{"slow during the canary", 12 * clock.Second, 700 * time.Millisecond, "delay=slow usual-ms=20"},
		{"slow past the canary", 19 * clock.Second, 700 * time.Millisecond, "delay=slow usual-ms=20"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				h := newHarness()
				h.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
				delay := 20 * time.Millisecond
				h.respond = func(int, *Attempt) (*Response, error) { time.Sleep(delay); return plainResponse(200), nil }
				order := h.startPlainOrder(t.Context())
				time.Sleep(row.elapsed.Duration())
				delay = row.delay
				h.serve(t.Context(), "/once/x", func(r *Request) { r.Session = canarySession(order) })
				lines := strings.Split(strings.TrimSpace(log.String()), "\n")
				if last := lines[len(lines)-1]; !strings.Contains(last, "release=v2") || !strings.Contains(last, row.want) {
					t.Errorf("no %s of release v2 in %s", row.want, last)
				}
			})
		})
	}
}

// canarySession returns a session that the canary of an order takes.
func canarySession(order *catalog.Order) string {
	session := "s"
	for sessionBucket(order, session) >= rollout.CanaryShare(0.15) {
		session += "s"
	}
	return session
}

// TestPromptLogLine guards against prompts whose length decided where a request went without a
// trace in its log line, and against such keys where prompts are alike.
func TestPromptLogLine(t *testing.T) {
	const long, short = 50_000, 800
	tests := []struct {
		name string
		// longEvery is the number of requests of which one has a long prompt.
		longEvery int
		// last is the size of the last prompt.
		last int
		want string
	}{
		{"alike", 100, short, ""},
		{"a short one", 20, short, "prompt=short placement=beside backlog-ms=0 group=0"},
		{"a long one", 20, long, "prompt=long placement=beside backlog-ms=0 group=0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.respond = func(int, *Attempt) (*Response, error) { return streamResponse(90, io.EOF, "1"), nil }
				send := func(tokens int) {
					h.serve(t.Context(), "/note/x", func(r *Request) { r.PromptParts = []placement.Part{{ID: "own", Tokens: tokens}} })
				}
				for i := range 60 {
					if i%tt.longEvery == tt.longEvery-1 {
						send(long)
					} else {
						send(short)
					}
				}
				var log bytes.Buffer
				h.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
				send(tt.last)
				if !strings.Contains(log.String(), "outcome=served") || !strings.Contains(log.String(), tt.want) || tt.want == "" && strings.Contains(log.String(), "prompt=") {
					t.Errorf("want %q: %s", tt.want, log.String())
				}
			})
		})
	}
}
