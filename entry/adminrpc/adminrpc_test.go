package adminrpc

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/link/admin/adminv1"
	"foxtailbridge/link/admin/adminv1/adminv1connect"
	"foxtailbridge/link/caller"
)

func TestKeys(t *testing.T) {
	ring := caller.NewKeyring[OperatorName]()
	ring.Add("operator-key", "op")
	s := New("one", "a", Dependencies{}, ring, hclog.NewNullLogger())
	Convey("A call without a key, or with a wrong one, is refused", t, func() {
		server := httptest.NewServer(s.Handler())
		defer server.Close()
		client := adminv1connect.NewAdminServiceClient(server.Client(), server.URL)
		for _, authorization := range []string{"", "Bearer wrong", "operator-key"} {
			request := connect.NewRequest(&adminv1.PublishRequest{Ticket: []byte("ticket: 1")})
			request.Header().Set("Authorization", authorization)
			_, err := client.Publish(context.Background(), request)
			So(connect.CodeOf(err), ShouldEqual, connect.CodeUnauthenticated)
		}
	})
	Convey("With a key, a bad ticket is refused with its error", t, func() {
		server := httptest.NewServer(s.Handler())
		defer server.Close()
		client := adminv1connect.NewAdminServiceClient(server.Client(), server.URL)
		request := connect.NewRequest(&adminv1.PublishRequest{Ticket: []byte("ticket: 0\nauthor: x")})
		request.Header().Set("Authorization", "Bearer operator-key")
		_, err := client.Publish(context.Background(), request)
		So(connect.CodeOf(err), ShouldEqual, connect.CodeInvalidArgument)
		So(err.Error(), ShouldContainSubstring, "number")
	})
	Convey("Guarded pages need the key, too", t, func() {
		guarded := s.RequireKey(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
		recorder := httptest.NewRecorder()
		guarded(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
		So(recorder.Code, ShouldEqual, http.StatusUnauthorized)
	})
}
