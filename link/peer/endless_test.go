package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"foxtailbridge/link/peer/peerv1"
	"foxtailbridge/link/peer/peerv1/peerv1connect"
	"foxtailbridge/policy/fault"
)

// floodBytes is where a test's endless message stops.
const floodBytes = 128 << 20

var blanks = bytes.Repeat([]byte{1}, 64<<10)

// endless is a message that goes on; it counts what was read of it.
type endless struct {
	read atomic.Int64
}

// Read fills p until the end of the flood.
func (e *endless) Read(p []byte) (int, error) {
	if e.read.Load() >= floodBytes {
		return 0, io.EOF
	}
	n := copy(p, blanks)
	e.read.Add(int64(n))
	return n, nil
}

// TestEndlessMessage guards against a message beyond the bound that is read to its
// end, on either side.
func TestEndlessMessage(t *testing.T) {
	check := func(t *testing.T, e *endless) {
		t.Helper()
		if n := e.read.Load(); n > 2*MaxMessageBytes {
			t.Errorf("%d MB of the message were read, want about %d at most", n>>20, MaxMessageBytes>>20)
		}
	}
	t.Run("asked", func(t *testing.T) {
		e := &endless{}
		request := httptest.NewRequest(http.MethodPost, peerv1connect.PeerServiceSyncProcedure, e)
		request.Header.Set("Content-Type", "application/proto")
		request.Header.Set(headerSecret, "s")
		recorder := httptest.NewRecorder()
		(&Server{}).Handler("s").ServeHTTP(recorder, request)
		if recorder.Code == http.StatusOK {
			t.Error("a message without end was taken")
		}
		check(t, e)
	})
	t.Run("answered", func(t *testing.T) {
		// In virtual time a busy machine does not run into the call's deadline.
		synctest.Test(t, func(t *testing.T) {
			e := &endless{}
			client := &http.Client{Transport: answering(func() *http.Response {
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/proto"}}, ContentLength: -1, Body: io.NopCloser(e)}
			})}
			if _, err := NewClient(client, "b", "s").Sync(context.Background(), &peerv1.Update{}); fault.KindOf[Kind](err) != KindRefused {
				t.Errorf("error %v", err)
			}
			check(t, e)
		})
	})
}

// answering is a transport that answers by itself.
type answering func() *http.Response

// RoundTrip answers a request.
func (a answering) RoundTrip(*http.Request) (*http.Response, error) { return a(), nil }
