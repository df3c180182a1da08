package callerhttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"foxtailbridge/entry/router"
	"foxtailbridge/link/caller"
	"foxtailbridge/link/chat"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/session"
	"foxtailbridge/policy/ticket"
)

// Limits on requests from callers.
const (
	DefaultMaxBody = 4 << 20
	maxKeyLength   = 255
	// bodyReadTimeout limits the time to read a request body; 4 MiB take 4 s at 8 Mbit/s.
	bodyReadTimeout = 30 * clock.Second
)

// Server is the HTTP server for the callers of one instance.
type Server struct {
	// Ready reports whether the load balancer should send new requests to this instance.
	Ready func() bool
	// View returns the configuration in force.
	View func() *ticket.View

	router *router.Router
	keys   *caller.Keyring[ticket.WorkspaceName]
	signer *session.Signer
	clock  *clock.Clock
}

// New returns a Server that passes requests to r. Ready and View must be set before
// the first request.
func New(r *router.Router, keys *caller.Keyring[ticket.WorkspaceName], signer *session.Signer, c *clock.Clock) *Server {
	return &Server{router: r, keys: keys, signer: signer, clock: c}
}

// Handler returns the routes for callers and the health checks for the platform's
// load balancer.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.withWorkspace(s.chat))
	mux.HandleFunc("GET /v1/models", s.withWorkspace(s.models))
	mux.HandleFunc("POST /v1/services/{service}/{call}", s.withWorkspace(s.call))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeNotRun(w, http.StatusNotFound, caller.CodeNotFound, "no such path; see docs/CALLERS.md")
	})
	return withBodyDeadline(mux)
}

// withBodyDeadline sets a read deadline for the request body, which applies whether the
// handler reads the body or the server discards it.
func withBodyDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// The error is ignored: if the connection is closed, the next read fails.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout.Duration()))
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// writeNotRun writes a problem response which tells the caller that the request did not run.
func writeNotRun(w http.ResponseWriter, status int, code caller.Code, detail string) {
	caller.WriteProblem(w, caller.NewProblem(status, code, claim.StateNotRun, detail))
}

type workspaceHandler func(w http.ResponseWriter, r *http.Request, workspace ticket.WorkspaceName)

// withWorkspace authenticates the caller's workspace and validates the headers that
// handlers read.
func (s *Server) withWorkspace(next workspaceHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		authorization := r.Header.Get("Authorization")
		if authorization == "" {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeNotRun(w, http.StatusUnauthorized, caller.CodeNoKey, "the Authorization header is missing")
			return
		}
		workspace, ok := s.keys.Owner(authorization)
		if !ok {
			writeNotRun(w, http.StatusUnauthorized, caller.CodeWrongKey, "the API key is not known")
			return
		}
		for _, name := range []string{caller.HeaderIdempotencyKey, caller.HeaderSession, caller.HeaderClass} {
			if !caller.ValidHeaderValue(r.Header.Get(name)) {
				writeNotRun(w, http.StatusBadRequest, caller.CodeBadHeader, name+" must be short printable ASCII")
				return
			}
		}
		next(w, r, workspace)
	}
}

// readBody reads the request body up to DefaultMaxBody. On failure it writes a problem
// response and returns false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, DefaultMaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeNotRun(w, http.StatusRequestEntityTooLarge, caller.CodeTooLarge, "the body is larger than 4 MiB")
	case errors.Is(err, os.ErrDeadlineExceeded):
		// Without this, the server would wait for the rest of the body to reuse the connection.
		w.Header().Set("Connection", "close")
		writeNotRun(w, http.StatusRequestTimeout, caller.CodeBadRequest, "the body did not come in time")
	case err != nil:
		writeNotRun(w, http.StatusBadRequest, caller.CodeBadRequest, "the body could not be read: "+err.Error())
	default:
		// Clear the deadline, which would otherwise also end the response.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	return body, err == nil
}

// requestID derives the request ID from the idempotency key, or generates one if there
// is no key. It returns the ID and the key; if the key is too long, it writes a problem
// response and returns false.
func requestID(w http.ResponseWriter, r *http.Request, workspace ticket.WorkspaceName, scope string) (claim.RequestID, string, bool) {
	key := r.Header.Get(caller.HeaderIdempotencyKey)
	if len(key) > maxKeyLength {
		writeNotRun(w, http.StatusBadRequest, caller.CodeBadHeader, "the idempotency key is longer than 255 characters")
		return "", "", false
	}
	if key == "" {
		return claim.NewRequestID(), "", true
	}
	return claim.RequestIDForKey(workspace, scope+"\x00"+key), key, true
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request, workspace ticket.WorkspaceName) {
	view := s.View()
	list := chat.ModelList{Object: "list", Data: []chat.Model{}}
	added := map[string]bool{}
	add := func(id string) {
		if !added[id] {
			added[id] = true
			list.Data = append(list.Data, chat.Model{ID: id, Object: "model", OwnedBy: "foxtailbridge"})
		}
	}
	if config := view.Workspaces[workspace]; config != nil && config.State == ticket.LifecycleActive {
		add(router.ModelAuto)
		allowed := slices.Clone(config.Allowed)
		slices.Sort(allowed)
		for _, ref := range allowed {
			if view.VersionActive(ref) {
				add(string(ref.Model()))
				add(string(ref))
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (s *Server) call(w http.ResponseWriter, r *http.Request, workspace ticket.WorkspaceName) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	service, name := ticket.ServiceName(r.PathValue("service")), r.PathValue("call")
	id, key, ok := requestID(w, r, workspace, string(service)+"/"+name)
	if !ok {
		return
	}
	if key != "" && !s.isIdempotent(service, name) && !s.checkKeyAge(w, key) {
		return
	}
	response, problem := s.router.Call(r.Context(), &router.CallRequest{
		ID:          id,
		GeneratedID: key == "",
		Workspace:   workspace,
		Service:     service,
		Call:        name,
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
	})
	if problem != nil {
		caller.WriteProblem(w, problem)
		return
	}
	w.Header().Set(caller.HeaderRequestID, string(id))
	w.Header().Set("Content-Type", response.ContentType)
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

func (s *Server) isIdempotent(service ticket.ServiceName, name string) bool {
	config := s.View().Services[service]
	if config == nil {
		return true
	}
	call := config.Call(name)
	return call == nil || call.Idempotent
}

// checkKeyAge rejects an idempotency key that is so old that an earlier claim with it
// may have expired from the log. A request with such a key may have run before, so the
// problem's state is unknown rather than not-run.
func (s *Server) checkKeyAge(w http.ResponseWriter, key string) bool {
	err := claim.CheckKeyAge(key, s.clock.Wall())
	switch fault.KindOf[claim.Kind](err) {
	case "":
		return true
	case claim.KindExpired:
		caller.WriteProblem(w, caller.NewProblem(http.StatusConflict, caller.CodeKeyExpired, claim.StateUnknown, err.Error()))
	default:
		writeNotRun(w, http.StatusBadRequest, caller.CodeKeyWithoutAge, err.Error()+"; a call that is not idempotent needs a UUIDv7 key, or none")
	}
	return false
}
