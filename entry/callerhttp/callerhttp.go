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

// Limits of what a caller may send.
const (
	DefaultMaxBody = 4 << 20
	maxKeyLength   = 255
	// maxBodyTime bounds the time for a body; 4 MiB take 4 s at 8 Mbit/s.
	maxBodyTime = 30 * clock.Second
)

// Server serves the callers of one instance.
type Server struct {
	// Ready reports whether new callers should be sent here.
	Ready func() bool
	// View returns the configuration in force.
	View func() *ticket.View

	router *router.Router
	keys   *caller.Keyring[ticket.WorkspaceName]
	signer *session.Signer
	clock  *clock.Clock
}

// New returns a Server.
func New(r *router.Router, keys *caller.Keyring[ticket.WorkspaceName], signer *session.Signer, c *clock.Clock) *Server {
	return &Server{router: r, keys: keys, signer: signer, clock: c}
}

// Handler serves the paths for callers and for the platform's balancer.
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
	return withBodyTime(mux)
}

// withBodyTime bounds the time for a request's body, read by its handler or not.
func withBodyTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// A channel that is gone fails its next read.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(maxBodyTime.Duration()))
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

func writeNotRun(w http.ResponseWriter, status int, code caller.Code, detail string) {
	caller.WriteProblem(w, caller.NewProblem(status, code, claim.StateNotRun, detail))
}

type workspaceHandler func(w http.ResponseWriter, r *http.Request, workspace ticket.WorkspaceName)

// withWorkspace authenticates the caller and checks the headers that are read.
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

// readBody reads a bounded body, or answers with a problem.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, DefaultMaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeNotRun(w, http.StatusRequestEntityTooLarge, caller.CodeTooLarge, "the body is larger than 4 MiB")
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The server would wait for the rest to use the channel again.
		w.Header().Set("Connection", "close")
		writeNotRun(w, http.StatusRequestTimeout, caller.CodeBadRequest, "the body did not come in time")
	case err != nil:
		writeNotRun(w, http.StatusBadRequest, caller.CodeBadRequest, "the body could not be read: "+err.Error())
	default:
		// Else the answer would end with the body's time.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	return body, err == nil
}

// identify derives the request id from the caller's key, or mints one.
func identify(w http.ResponseWriter, r *http.Request, workspace ticket.WorkspaceName, scope string) (claim.RequestID, string, bool) {
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
	seen := map[string]bool{}
	add := func(id string) {
		if !seen[id] {
			seen[id] = true
			list.Data = append(list.Data, chat.Model{ID: id, Object: "model", OwnedBy: "foxtailbridge"})
		}
	}
	if known := view.Workspaces[workspace]; known != nil && known.State == ticket.LifecycleActive {
		add(router.ModelAuto)
		allowed := slices.Clone(known.Allowed)
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
	id, key, ok := identify(w, r, workspace, string(service)+"/"+name)
	if !ok {
		return
	}
	if key != "" && !s.repeatable(service, name) && !s.checkAge(w, key) {
		return
	}
	answer, problem := s.router.Call(r.Context(), &router.CallRequest{
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
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func (s *Server) repeatable(service ticket.ServiceName, name string) bool {
	known := s.View().Services[service]
	if known == nil {
		return true
	}
	call := known.Call(name)
	return call == nil || call.Idempotent
}

// checkAge refuses a key under which an earlier claim may have left the log. A
// key that is too old may have run, so its refusal says unknown.
func (s *Server) checkAge(w http.ResponseWriter, key string) bool {
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
