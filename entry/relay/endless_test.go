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
	// endlessBodyBytes is where a test's endless message stops.
	endlessBodyBytes = 64 << 20
	// maxAllocFactor is how many times its bound an exchange may allocate, in bytes
	// that are free again too.
	maxAllocFactor = 16
)

// endlessBody reads as a JSON text that goes on, and counts what was read of it.
type endlessBody struct {
	started   bool
	bytesRead atomic.Int64
}

var blanks = bytes.Repeat([]byte{' '}, 64<<10)

// Read fills p until the end of the flood.
func (e *endlessBody) Read(p []byte) (int, error) {
	if e.bytesRead.Load() >= endlessBodyBytes {
		return 0, io.EOF
	}
	n := copy(p, blanks)
	if !e.started {
		e.started = true
		p[0] = '{'
	}
	e.bytesRead.Add(int64(n))
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
	check := func(t *testing.T, body *endlessBody, run func()) {
		t.Helper()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		run()
		runtime.ReadMemStats(&after)
		if n := body.bytesRead.Load(); n > 2*maxMessageBytes {
			t.Errorf("%d MB of the message were read, want about %d at most", n>>20, maxMessageBytes>>20)
		}
		if grown := after.TotalAlloc - before.TotalAlloc; grown > maxAllocFactor*maxMessageBytes {
			t.Errorf("%d MB were allocated, want at most %d", grown>>20, maxAllocFactor*maxMessageBytes>>20)
		}
	}
	t.Run("asked", func(t *testing.T) {
		path, handler := newRelay(nil).Handler()
		body := &endlessBody{}
		request := httptest.NewRequest(http.MethodPost, path, body)
		request.Header.Set("Content-Type", "application/json")
		recorder := httptest.NewRecorder()
		check(t, body, func() { handler.ServeHTTP(recorder, request) })
		if recorder.Code == http.StatusOK || !strings.Contains(recorder.Body.String(), connect.CodeResourceExhausted.String()) {
			t.Errorf("answered %d %.200s", recorder.Code, recorder.Body)
		}
	})
	t.Run("answered", func(t *testing.T) {
		body := &endlessBody{}
		r := newRelay(clientFunc(func(*http.Request) *http.Response {
			return &http.Response{
				StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}},
				ContentLength: -1, Body: io.NopCloser(body),
			}
		}))
		check(t, body, func() {
			if r.exchange(context.Background(), "b", "b", false) {
				t.Error("a message without end was taken")
			}
		})
	})
}

// clientFunc is an HTTP client that answers by itself.
type clientFunc func(r *http.Request) *http.Response

// Do answers a request.
func (a clientFunc) Do(r *http.Request) (*http.Response, error) { return a(r), nil }
