package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/ticket"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindMalformed      Kind = "malformed"
	KindUnknownKey     Kind = "unknown-key"
	KindBadSignature   Kind = "forged"
	KindWrongWorkspace Kind = "foreign"
	KindNoKey          Kind = "no-key"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// KeyID names a signing key.
type KeyID string

// Key is a secret for signing tokens.
type Key struct {
	ID     KeyID
	Secret []byte
}

// Pin ties a session to a version; the caller carries it.
type Pin struct {
	Session   string               `json:"session"`
	Workspace ticket.WorkspaceName `json:"workspace"`
	Version   ticket.VersionRef    `json:"version"`
	// TicketNumber is the ticket that had set the version when the session began.
	TicketNumber ticket.Number `json:"ticket"`
}

// Signer signs with its first key and accepts all its keys.
type Signer struct {
	keys []Key
}

// NewSigner returns a Signer; the first key signs, the others are still accepted.
func NewSigner(keys ...Key) (*Signer, error) {
	if len(keys) == 0 {
		return nil, fault.New("new-signer", KindNoKey, "at least one key is needed")
	}
	return &Signer{keys: keys}, nil
}

var encoding = base64.RawURLEncoding

// Sign returns the token for a pin.
func (s *Signer) Sign(pin Pin) (string, error) {
	body, err := json.Marshal(pin)
	if err != nil {
		return "", fault.New("sign", KindMalformed, "%w", err)
	}
	key := s.keys[0]
	return string(key.ID) + "." + encoding.EncodeToString(body) + "." + encoding.EncodeToString(mac(key, body)), nil
}

// Verify returns the pin of a token that was signed for the workspace.
func (s *Signer) Verify(token string, workspace ticket.WorkspaceName) (Pin, error) {
	parts := strings.Split(token, ".")
	if len(parts) != 3 {
		return Pin{}, fault.New("verify", KindMalformed, "token has %d parts", len(parts))
	}
	body, bodyErr := encoding.DecodeString(parts[1])
	sum, sumErr := encoding.DecodeString(parts[2])
	if bodyErr != nil || sumErr != nil {
		return Pin{}, fault.New("verify", KindMalformed, "token is not base64url")
	}
	key, ok := s.key(KeyID(parts[0]))
	if !ok {
		return Pin{}, fault.New("verify", KindUnknownKey, "key %.20q is not accepted", parts[0])
	}
	if !hmac.Equal(sum, mac(key, body)) {
		return Pin{}, fault.New("verify", KindBadSignature, "signature does not match")
	}
	var pin Pin
	if err := json.Unmarshal(body, &pin); err != nil {
		return Pin{}, fault.New("verify", KindMalformed, "%w", err)
	}
	if pin.Workspace != workspace {
		return Pin{}, fault.New("verify", KindWrongWorkspace, "token belongs to another workspace")
	}
	return pin, nil
}

func (s *Signer) key(id KeyID) (Key, bool) {
	for _, key := range s.keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

func mac(key Key, body []byte) []byte {
	h := hmac.New(sha256.New, key.Secret)
	h.Write([]byte(key.ID))
	h.Write([]byte{0})
	h.Write(body)
	return h.Sum(nil)
}
