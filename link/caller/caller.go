package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
)

// Headers towards callers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderSession        = "Session-Token"
	HeaderClass          = "Request-Class"
	HeaderRequestID      = "Request-Id"
	HeaderVersion        = "Model-Version"
	HeaderRetryAfter     = "Retry-After"
)

// Code is a stable name of a problem, for programs.
type Code string

// Codes of problems.
const (
	CodeNoKey            Code = "no-api-key"
	CodeWrongKey         Code = "wrong-api-key"
	CodeBadRequest       Code = "bad-request"
	CodeTooLarge         Code = "body-too-large"
	CodeBadHeader        Code = "bad-header"
	CodeUnknownModel     Code = "unknown-model"
	CodeNotAllowed       Code = "not-allowed"
	CodeNotFound         Code = "not-found"
	CodeWithdrawn        Code = "version-withdrawn"
	CodeBadSession       Code = "bad-session-token"
	CodeNoEndpoint       Code = "no-endpoint"
	CodeOverload         Code = "overload"
	CodeDeadline         Code = "deadline"
	CodeDraining         Code = "draining"
	CodeNotReady         Code = "not-ready"
	CodeBillingBlocked   Code = "billing-blocked"
	CodeClaimUnreadable  Code = "claim-unreadable"
	CodeKeyWithoutAge    Code = "key-without-age"
	CodeKeyExpired       Code = "key-expired"
	CodeKeyReused        Code = "key-reused"
	CodeClaimedElsewhere Code = "held-elsewhere"
	CodeClosed           Code = "request-closed"
	CodeQuarantined      Code = "quarantined"
	CodeEndpointFailed   Code = "endpoint-failed"
	CodeIncomplete       Code = "incomplete"
	CodeCanceled         Code = "canceled"
)

// Problem is an RFC 9457 problem that also says what became of the request.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Code   Code   `json:"code"`
	// Outcome is not-run or unknown.
	Outcome   claim.State     `json:"outcome"`
	RequestID claim.RequestID `json:"request-id,omitempty"`
	// RetryAfter is when to try again; 0 means that trying again will not help.
	RetryAfter clock.Millis `json:"-"`
	// Error repeats code and detail for clients that follow the OpenAI API.
	Error ProblemError `json:"error"`
}

// ProblemError is the error object of the OpenAI API.
type ProblemError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Code   `json:"code"`
}

// NewProblem returns a problem with a status, a code, an outcome and a detail.
func NewProblem(status int, code Code, outcome claim.State, detail string) *Problem {
	return &Problem{
		Type:    "urn:foxtailbridge:problem:" + string(code),
		Title:   strings.ReplaceAll(string(code), "-", " "),
		Status:  status,
		Detail:  detail,
		Code:    code,
		Outcome: outcome,
		Error:   ProblemError{Message: detail, Type: string(outcome), Code: code},
	}
}

// WriteProblem answers with the problem.
func WriteProblem(w http.ResponseWriter, p *Problem) {
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	if p.RetryAfter > 0 {
		seconds := (p.RetryAfter + clock.Second - 1) / clock.Second
		header.Set(HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	if p.RequestID != "" {
		header.Set(HeaderRequestID, string(p.RequestID))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// Keyring maps secrets to names without keeping the secrets.
type Keyring[N ~string] struct {
	names map[[sha256.Size]byte]N
}

// NewKeyring returns an empty Keyring.
func NewKeyring[N ~string]() *Keyring[N] {
	return &Keyring[N]{names: map[[sha256.Size]byte]N{}}
}

// Add gives the name a key.
func (k *Keyring[N]) Add(key string, name N) {
	k.names[sha256.Sum256([]byte(key))] = name
}

// Owner returns the owner of a bearer token, or false.
func (k *Keyring[N]) Owner(authorization string) (N, bool) {
	scheme, token, found := strings.Cut(authorization, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	name, ok := k.names[sha256.Sum256([]byte(strings.TrimSpace(token)))]
	return name, ok
}

// SameSecret compares two secrets in constant time.
func SameSecret(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// MaxHeaderValue bounds the header values that the system reads.
const MaxHeaderValue = 4096

// ValidHeaderValue reports whether a value is short printable ASCII.
func ValidHeaderValue(value string) bool {
	if len(value) > MaxHeaderValue {
		return false
	}
	for _, b := range []byte(value) {
		if b < ' ' || b > '~' {
			return false
		}
	}
	return true
}
