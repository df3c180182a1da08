package relay

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/clock"
)

const (
	// floodBytes is where a test's endless message stops.
	floodBytes = 64 << 20
	// floodGrowth is how many times its bound an exchange may allocate, in bytes
	// that are free again too.
	floodGrowth = 16
)

// endless reads as a JSON text that goes on, and counts what was read of it.
type endless struct {
	begun bool
	read  atomic.Int64
}

var blanks = bytes.Repeat([]byte{' '}, 64<<10)

// Read fills p until the end of the flood.
func (e *endless) Read(p []byte) (int, error) {
	if e.read.Load() >= floodBytes {
		return 0, io.EOF
	}
	n := copy(p, blanks)
	if !e.begun {
		e.begun = true
		p[0] = '{'
	}
	e.read.Add(int64(n))
	return n, nil
}

func newRelay(client connect.HTTPClient) *Relay {
	c := clock.New()
	return New(Member{Name: "a", Zone: "z", Address: "a", RunID: "1"}, nil, Dependencies{
		Registry: registry.New(c, hclog.NewNullLogger()), Client: client, Clock: c,
		Random: rand.New(rand.NewPCG(1, 1)), Logger: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
}

// TestEndlessMessage guards against a message between instances that is read as
// far as it comes, on either side.
func TestEndlessMessage(t *testing.T) {
	check := func(t *testing.T, e *endless, run func()) {
		t.Helper()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		run()
		runtime.ReadMemStats(&after)
		if n := e.read.Load(); n > 2*maxMessage {
			t.Errorf("%d MB of the message were read, want about %d at most", n>>20, maxMessage>>20)
		}
		if grown := after.TotalAlloc - before.TotalAlloc; grown > floodGrowth*maxMessage {
			t.Errorf("%d MB were allocated, want at most %d", grown>>20, floodGrowth*maxMessage>>20)
		}
	}
	t.Run("asked", func(t *testing.T) {
		path, handler := newRelay(nil).Handler()
		e := &endless{}
		request := httptest.NewRequest(http.MethodPost, path, e)
		request.Header.Set("Content-Type", "application/json")
		recorder := httptest.NewRecorder()
		check(t, e, func() { handler.ServeHTTP(recorder, request) })
		if recorder.Code == http.StatusOK || !strings.Contains(recorder.Body.String(), connect.CodeResourceExhausted.String()) {
			t.Errorf("answered %d %.200s", recorder.Code, recorder.Body)
		}
	})
	t.Run("answered", func(t *testing.T) {
		e := &endless{}
		r := newRelay(answering(func(*http.Request) *http.Response {
			return &http.Response{
				StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}},
				ContentLength: -1, Body: io.NopCloser(e),
			}
		}))
		check(t, e, func() {
			if r.exchange(context.Background(), "b", "b", false) {
				t.Error("a message without end was taken")
			}
		})
	})
}

// answering is an HTTP client that answers by itself.
type answering func(r *http.Request) *http.Response

// Do answers a request.
func (a answering) Do(r *http.Request) (*http.Response, error) { return a(r), nil }
