package adminrpc

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/config"
	"foxtailbridge/entry/learning"
	"foxtailbridge/entry/ledger"
	"foxtailbridge/entry/members"
	"foxtailbridge/entry/pool"
	"foxtailbridge/entry/router"
	"foxtailbridge/link/admin/adminv1"
	"foxtailbridge/link/admin/adminv1/adminv1connect"
	"foxtailbridge/link/caller"
	"foxtailbridge/link/platform"
	"foxtailbridge/policy/billing"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// OperatorName identifies an operator in log lines.
type OperatorName string

// Dependencies are the components of an instance that the API exposes.
type Dependencies struct {
	Config  *config.Store
	Members *members.Members
	Pool    *pool.Pool
	Ledger  *ledger.Ledger
	Learner *learning.Learner
	Router  *router.Router
	Log     *platform.Log
	Ready   func() bool
}

// Server serves the administration API of one instance.
type Server struct {
	instance string
	zone     ticket.ZoneName
	deps     Dependencies
	keys     *caller.Keyring[OperatorName]
	logger   hclog.Logger
}

// New returns a Server for the named instance; keys authenticates operators.
func New(instance string, zone ticket.ZoneName, deps Dependencies, keys *caller.Keyring[OperatorName], logger hclog.Logger) *Server {
	return &Server{instance: instance, zone: zone, deps: deps, keys: keys, logger: logger.Named("admin")}
}

// Handler returns the API's HTTP handler, which requires an operator key.
func (s *Server) Handler() http.Handler {
	_, handler := adminv1connect.NewAdminServiceHandler(s, connect.WithInterceptors(s.authenticate()))
	return handler
}

var errInvalidKey = errors.New("the operator key is missing or not known")

func (s *Server) authenticate() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			operator, ok := s.keys.Owner(request.Header().Get("Authorization"))
			if !ok {
				return nil, connect.NewError(connect.CodeUnauthenticated, errInvalidKey)
			}
			s.logger.Info("operator-call", "operator", operator, "procedure", request.Spec().Procedure)
			return next(ctx, request)
		}
	})
}

// RequireKey wraps a handler so that it requires an operator key.
func (s *Server) RequireKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.keys.Owner(r.Header.Get("Authorization")); !ok {
			http.Error(w, errInvalidKey.Error(), http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// Publish appends a ticket to the log and reports for each of its objects which ticket
// is in force.
func (s *Server) Publish(ctx context.Context, r *connect.Request[adminv1.PublishRequest]) (*connect.Response[adminv1.PublishResponse], error) {
	t, err := ticket.Parse(r.Msg.Ticket)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	offset, err := s.deps.Config.Publish(ctx, t)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &adminv1.PublishResponse{Number: int64(t.Number), Offset: int64(offset)}
	inForce := map[string]ticket.Entry{}
	for _, e := range s.deps.Config.Entries() {
		inForce[string(e.Kind)+"/"+e.Name] = e
	}
	for _, e := range t.Entries(offset) {
		current := inForce[string(e.Kind)+"/"+e.Name]
		response.Objects = append(response.Objects, &adminv1.ObjectResult{
			Kind:          string(e.Kind),
			Name:          e.Name,
			NumberInForce: int64(current.Number),
			InForce:       current.Number == e.Number && string(current.Body) == string(e.Body),
		})
	}
	return connect.NewResponse(response), nil
}

// Config returns the configuration in force.
func (s *Server) Config(context.Context, *connect.Request[adminv1.ConfigRequest]) (*connect.Response[adminv1.ConfigResponse], error) {
	response := &adminv1.ConfigResponse{Digest: formatDigest(s.deps.Config.View().Digest)}
	for _, e := range s.deps.Config.Entries() {
		response.Objects = append(response.Objects, &adminv1.ConfigObject{
			Kind: string(e.Kind), Name: e.Name, Number: int64(e.Number), Offset: int64(e.Offset), Body: string(e.Body),
		})
	}
	return connect.NewResponse(response), nil
}

func formatDigest(d ticket.Digest) string {
	return fmt.Sprintf("%016x", uint64(d))
}

// Status returns the state of the instance, and of the endpoints and peers as it sees them.
func (s *Server) Status(context.Context, *connect.Request[adminv1.StatusRequest]) (*connect.Response[adminv1.StatusResponse], error) {
	deps := &s.deps
	response := &adminv1.StatusResponse{
		Instance:       s.instance,
		Zone:           string(s.zone),
		Ready:          deps.Ready(),
		Draining:       deps.Router.Draining(),
		ConfigDigest:   formatDigest(deps.Config.View().Digest),
		LogAgeMs:       int64(deps.Config.LogAge()),
		UnsettledBills: int64(deps.Ledger.Unsettled()),
		HeldBills:      int64(deps.Ledger.Held()),
	}
	for _, other := range deps.Members.Peers() {
		response.Peers = append(response.Peers, string(other.ID))
	}
	for _, e := range deps.Pool.Statuses() {
		response.Endpoints = append(response.Endpoints, endpointStatus(&e))
	}
	slices.SortFunc(response.Endpoints, func(a, b *adminv1.EndpointStatus) int { return cmp.Compare(a.Id, b.Id) })
	for _, digest := range deps.Learner.Quarantined() {
		response.Quarantined = append(response.Quarantined, string(digest))
	}
	for _, stop := range deps.Learner.Stops() {
		response.StoppedRollouts = append(response.StoppedRollouts, fmt.Sprintf("%s (ticket %d)", stop.Rollout, stop.Number))
	}
	return connect.NewResponse(response), nil
}

func endpointStatus(e *pool.Status) *adminv1.EndpointStatus {
	state := string(e.Phase)
	switch {
	case e.Down:
		state = "down"
	case e.Listing.Presence == platform.PresenceDraining:
		state = "leaving"
	case e.Ejected:
		state = "ejected"
	}
	serves := string(e.Listing.Version)
	if e.Listing.Service != "" {
		serves = string(e.Listing.Service)
	}
	return &adminv1.EndpointStatus{
		Id: string(e.Listing.ID), Zone: string(e.Listing.Zone), Serves: serves,
		State: state, InFlight: int64(e.InFlight), ReportAgeMs: int64(e.ReportAge),
	}
}

// Bills reads the bill stream from the log and counts each request once.
func (s *Server) Bills(ctx context.Context, r *connect.Request[adminv1.BillsRequest]) (*connect.Response[adminv1.BillsResponse], error) {
	bills, err := readBills(ctx, s.deps.Log)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	workspace := ticket.WorkspaceName(r.Msg.Workspace)
	response := &adminv1.BillsResponse{
		TotalMicros:       int64(bills.Total(workspace)),
		DuplicatesIgnored: int64(bills.Duplicates()),
	}
	for _, bill := range bills.Bills() {
		if workspace == "" || bill.Workspace == workspace {
			response.Bills = append(response.Bills, toBillLine(&bill))
		}
	}
	if limit := int(r.Msg.Limit); limit > 0 && len(response.Bills) > limit {
		response.Bills = response.Bills[len(response.Bills)-limit:]
	}
	return connect.NewResponse(response), nil
}

func toBillLine(bill *billing.Bill) *adminv1.BillLine {
	return &adminv1.BillLine{
		RequestId: string(bill.ID), Workspace: string(bill.Workspace), Serves: bill.Serves,
		CostMicros: int64(bill.Cost), Tokens: int64(bill.Tokens), Attempts: int64(bill.Attempts), BilledAtMs: int64(bill.At),
	}
}

func readBills(ctx context.Context, log *platform.Log) (*billing.Ledger, error) {
	ledger := billing.NewLedger()
	tail := &platform.Tail{Log: log, Stream: platform.StreamBills, Clock: clock.New(), Apply: func(record platform.Record) {
		var bills []billing.Bill
		if json.Unmarshal(record.Data, &bills) != nil {
			return
		}
		for _, bill := range bills {
			ledger.Add(bill)
		}
	}}
	for {
		if err := tail.Poll(ctx, 0); err != nil {
			return nil, err
		}
		if _, atEnd := tail.Age(); atEnd {
			return ledger, nil
		}
	}
}

// Decisions returns the latest lines of the routing decision log.
func (s *Server) Decisions(_ context.Context, r *connect.Request[adminv1.DecisionsRequest]) (*connect.Response[adminv1.DecisionsResponse], error) {
	lines := s.deps.Router.Decisions().Latest(int(r.Msg.Limit))
	return connect.NewResponse(&adminv1.DecisionsResponse{Lines: lines}), nil
}
