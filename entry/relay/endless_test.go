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
	// endlessBodyBytes is the size at which the test's endless body ends after all.
	endlessBodyBytes = 64 << 20
	// maxAllocFactor is the maximum total allocation of an exchange, freed memory included, as a
	// multiple of maxMessageBytes.
	maxAllocFactor = 16
)

// endlessBody is a JSON document that never closes. It counts the bytes read from it.
type endlessBody struct {
	started   bool
	bytesRead atomic.Int64
}

var blanks = bytes.Repeat([]byte{' '}, 64<<10)

// Read fills p until endlessBodyBytes are read.
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

// TestEndlessMessage guards against reading a peer's message without a size limit, as a
// request or as a response.
func TestEndlessMessage(t *testing.T) {
	check := func(t *testing.T, body *endlessBody, run func()) {
		t.Helper()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		run()
		runtime.ReadMemStats(&after)
		if n := body.bytesRead.Load(); n > 2*maxMessageBytes {
			t.Errorf("%d MB of the message were read, want at most about %d", n>>20, maxMessageBytes>>20)
		}
		if grown := after.TotalAlloc - before.TotalAlloc; grown > maxAllocFactor*maxMessageBytes {
			t.Errorf("%d MB were allocated, want at most %d", grown>>20, maxAllocFactor*maxMessageBytes>>20)
		}
	}
	t.Run("request", func(t *testing.T) {
		path, handler := newRelay(nil).Handler()
		body := &endlessBody{}
		request := httptest.NewRequest(http.MethodPost, path, body)
		request.Header.Set("Content-Type", "application/json")
		recorder := httptest.NewRecorder()
		check(t, body, func() { handler.ServeHTTP(recorder, request) })
		if recorder.Code == http.StatusOK || !strings.Contains(recorder.Body.String(), connect.CodeResourceExhausted.String()) {
			t.Errorf("got response %d %.200s", recorder.Code, recorder.Body)
		}
	})
	t.Run("response", func(t *testing.T) {
		body := &endlessBody{}
		r := newRelay(clientFunc(func(*http.Request) *http.Response {
			return &http.Response{
				StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}},
				ContentLength: -1, Body: io.NopCloser(body),
			}
		}))
		check(t, body, func() {
			if r.exchange(context.Background(), "b", "b", false) {
				t.Error("an endless message was accepted")
			}
		})
	})
}

// clientFunc is an HTTP client that calls a function instead of the network.
type clientFunc func(r *http.Request) *http.Response

// Do returns the function's response to the request.
func (a clientFunc) Do(r *http.Request) (*http.Response, error) { return a(r), nil }
