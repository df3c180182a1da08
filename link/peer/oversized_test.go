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

// maxSentBytes is where the endless message of a test stops.
const maxSentBytes = 128 << 20

var filler = bytes.Repeat([]byte{1}, 64<<10)

// endlessReader is the body of an endless message; it counts the bytes read.
type endlessReader struct {
	bytesRead atomic.Int64
}

// Read fills p until maxSentBytes were read.
func (e *endlessReader) Read(p []byte) (int, error) {
	if e.bytesRead.Load() >= maxSentBytes {
		return 0, io.EOF
	}
	n := copy(p, filler)
	e.bytesRead.Add(int64(n))
	return n, nil
}

// TestOversizedMessage guards against a server or client that reads a message beyond
// MaxMessageBytes to its end.
func TestOversizedMessage(t *testing.T) {
	check := func(t *testing.T, e *endlessReader) {
		t.Helper()
		if n := e.bytesRead.Load(); n > 2*MaxMessageBytes {
			t.Errorf("%d MB of the message were read, want about %d at most", n>>20, MaxMessageBytes>>20)
		}
	}
	t.Run("request", func(t *testing.T) {
		e := &endlessReader{}
		request := httptest.NewRequest(http.MethodPost, peerv1connect.PeerServiceSyncProcedure, e)
		request.Header.Set("Content-Type", "application/proto")
		request.Header.Set(headerSecret, "s")
		recorder := httptest.NewRecorder()
		(&Server{}).Handler("s").ServeHTTP(recorder, request)
		if recorder.Code == http.StatusOK {
			t.Error("an endless message was accepted")
		}
		check(t, e)
	})
	t.Run("response", func(t *testing.T) {
		// With virtual time a busy host cannot cause the call to time out.
		synctest.Test(t, func(t *testing.T) {
			e := &endlessReader{}
			client := &http.Client{Transport: roundTripFunc(func() *http.Response {
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/proto"}}, ContentLength: -1, Body: io.NopCloser(e)}
			})}
			if _, err := NewClient(client, "b", "s").Sync(context.Background(), &peerv1.Update{}); fault.KindOf[Kind](err) != KindRefused {
				t.Errorf("error %v", err)
			}
			check(t, e)
		})
	})
}

// roundTripFunc is a transport that returns the response of a function.
type roundTripFunc func() *http.Response

// RoundTrip calls the function.
func (a roundTripFunc) RoundTrip(*http.Request) (*http.Response, error) { return a(), nil }
