package peer

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"foxtailbridge/link/caller"
	"foxtailbridge/link/peer/peerv1"
	"foxtailbridge/link/peer/peerv1/peerv1connect"
)

// Server serves the RPCs of other instances; the functions of its Client implement them.
type Server struct {
	Client
}

// Handler returns the HTTP handler of the RPCs; it rejects requests without the shared secret.
func (s *Server) Handler(secret string) http.Handler {
	_, handler := peerv1connect.NewPeerServiceHandler(&service{s},
		connect.WithInterceptors(requireSecret(secret)),
		connect.WithReadMaxBytes(MaxMessageBytes))
	return http.MaxBytesHandler(handler, MaxMessageBytes)
}

var errSecret = errors.New("wrong peer secret")

func requireSecret(secret string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if !caller.SameSecret(request.Header().Get(headerSecret), secret) {
				return nil, connect.NewError(connect.CodeUnauthenticated, errSecret)
			}
			return next(ctx, request)
		}
	})
}

// service adapts a Server to the generated interface.
type service struct {
	server *Server
}

func (s *service) Sync(ctx context.Context, r *connect.Request[peerv1.SyncRequest]) (*connect.Response[peerv1.SyncResponse], error) {
	update, err := s.server.Client.Sync(ctx, r.Msg.GetUpdate())
	return respond(&peerv1.SyncResponse{Update: update}, err)
}

func (s *service) Outcome(ctx context.Context, r *connect.Request[peerv1.OutcomeRequest]) (*connect.Response[peerv1.OutcomeResponse], error) {
	return respond(s.server.Client.Outcome(ctx, r.Msg))
}

func (s *service) HoldBills(ctx context.Context, r *connect.Request[peerv1.HoldBillsRequest]) (*connect.Response[peerv1.HoldBillsResponse], error) {
	return respond(s.server.Client.HoldBills(ctx, r.Msg))
}

func (s *service) Permit(ctx context.Context, r *connect.Request[peerv1.PermitRequest]) (*connect.Response[peerv1.PermitResponse], error) {
	return respond(s.server.Client.Permit(ctx, r.Msg))
}

func respond[A any](response *A, err error) (*connect.Response[A], error) {
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}
