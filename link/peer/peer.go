package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"foxtailbridge/link/peer/peerv1"
	"foxtailbridge/link/peer/peerv1/peerv1connect"
	"foxtailbridge/link/socket"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindUnreachable Kind = "unreachable"
	KindRefused     Kind = "refused"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Client calls one other instance.
type Client struct {
	Sync      func(ctx context.Context, update *peerv1.Update) (*peerv1.Update, error)
	Outcome   func(ctx context.Context, request *peerv1.OutcomeRequest) (*peerv1.OutcomeResponse, error)
	HoldBills func(ctx context.Context, request *peerv1.HoldBillsRequest) (*peerv1.HoldBillsResponse, error)
	Permit    func(ctx context.Context, request *peerv1.PermitRequest) (*peerv1.PermitResponse, error)
}

// Defaults of clients.
const (
	DefaultTimeout = 500 * clock.Millis(1)
	headerSecret   = "Peer-Secret"
	// MaxMessageBytes bounds a message between instances.
	MaxMessageBytes = 16 << 20
)

// NewClient returns a Client for the instance at the address, which uses the shared secret.
func NewClient(client *http.Client, address, secret string) *Client {
	service := peerv1connect.NewPeerServiceClient(socket.LimitResponses(client, MaxMessageBytes), "http://"+address,
		connect.WithInterceptors(sendSecret(secret)),
		connect.WithReadMaxBytes(MaxMessageBytes))
	return &Client{
		Sync: func(ctx context.Context, update *peerv1.Update) (*peerv1.Update, error) {
			answer, err := unary(ctx, "sync", DefaultTimeout, &peerv1.SyncRequest{Update: update}, service.Sync)
			return answer.GetUpdate(), err
		},
		Outcome: func(ctx context.Context, request *peerv1.OutcomeRequest) (*peerv1.OutcomeResponse, error) {
			return unary(ctx, "outcome", DefaultTimeout+clock.Millis(request.WaitMs), request, service.Outcome)
		},
		HoldBills: func(ctx context.Context, request *peerv1.HoldBillsRequest) (*peerv1.HoldBillsResponse, error) {
			return unary(ctx, "hold-bills", DefaultTimeout, request, service.HoldBills)
		},
		Permit: func(ctx context.Context, request *peerv1.PermitRequest) (*peerv1.PermitResponse, error) {
			return unary(ctx, "permit", DefaultTimeout, request, service.Permit)
		},
	}
}

type method[Q, A any] func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// unary calls a method within a timeout and maps its error.
func unary[Q, A any](ctx context.Context, op string, timeout clock.Millis, request *Q, call method[Q, A]) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	response, err := call(ctx, connect.NewRequest(request))
	if err == nil {
		return response.Msg, nil
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated, connect.CodeInvalidArgument, connect.CodeResourceExhausted:
		return nil, fault.New(op, KindRefused, "%w", err)
	}
	return nil, fault.New(op, KindUnreachable, "%w", err)
}

func sendSecret(secret string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set(headerSecret, secret)
			return next(ctx, request)
		}
	})
}
