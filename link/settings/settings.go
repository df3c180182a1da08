package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"

	"github.com/goccy/go-yaml"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/ticket"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindUnreadable Kind = "unreadable"
	KindSyntax     Kind = "syntax"
	KindInvalid    Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Listen holds the addresses that an instance listens on, each an IP address and port.
type Listen struct {
	Caller string `yaml:"caller"`
	Peer   string `yaml:"peer"`
	Admin  string `yaml:"admin"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log       string `yaml:"log"`
	Directory string `yaml:"directory"`
	Ratings   string `yaml:"ratings"`
}

// CallerKey is the API key of a workspace.
type CallerKey struct {
	Workspace ticket.WorkspaceName `yaml:"workspace"`
	Key       string               `yaml:"key"`
}

// OperatorKey is the key of an operator.
type OperatorKey struct {
	Name string `yaml:"name"`
	Key  string `yaml:"key"`
}

// SessionKey signs session tokens.
type SessionKey struct {
	ID     string `yaml:"id"`
	Secret string `yaml:"secret"`
}

// Keys holds all secrets.
type Keys struct {
	// Peer is shared by all instances.
	Peer      string        `yaml:"peer"`
	Callers   []CallerKey   `yaml:"callers"`
	Operators []OperatorKey `yaml:"operators"`
	// Sessions lists the signing key first, then older ones still accepted.
	Sessions []SessionKey `yaml:"sessions"`
}

// Entry is the settings of an entry instance.
type Entry struct {
	Instance string          `yaml:"instance"`
	Zone     ticket.ZoneName `yaml:"zone"`
	Listen   Listen          `yaml:"listen"`
	Platform Platform        `yaml:"platform"`
	// BootstrapPeers lists the peer addresses of other instances to begin with.
	BootstrapPeers  []string     `yaml:"peers"`
	Keys            Keys         `yaml:"keys"`
	ClaimPartitions int          `yaml:"claim-partitions"`
	DrainTimeout    clock.Millis `yaml:"drain-ms"`
	LogLevel        string       `yaml:"log-level"`
}

// Defaults of the settings.
const (
	DefaultClaimPartitions = 4
	DefaultDrainTimeout    = clock.Minute
	DefaultLogLevel        = "info"
	maxClaimPartitions     = 64
	minSecretBytes         = 16
)

// LoadEntry reads the file strictly; errors name file, line and key.
func LoadEntry(path string) (*Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New("load", KindUnreadable, "%w", err)
	}
	return ParseEntry(path, data)
}

// ParseEntry reads settings; name stands for the file in errors.
func ParseEntry(name string, data []byte) (*Entry, error) {
	e := &Entry{
		ClaimPartitions: DefaultClaimPartitions,
		DrainTimeout:    DefaultDrainTimeout,
		LogLevel:        DefaultLogLevel,
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField())
	if err := decoder.Decode(e); err != nil {
		// Without the source around the error, which may hold secrets.
		return nil, fault.New("parse", KindSyntax, "%s: %s", name, yaml.FormatError(err, false, false))
	}
	c := &checker{name: name, data: data}
	c.entry(e)
	if c.err != nil {
		return nil, c.err
	}
	return e, nil
}

// checker keeps the first impossible value found.
type checker struct {
	name string
	data []byte
	err  *Error
}

func (c *checker) want(ok bool, key, format string, args ...any) {
	if ok || c.err != nil {
		return
	}
	message := fmt.Sprintf(format, args...)
	c.err = fault.New("check", KindInvalid, "%s:%d: %s: %s", c.name, c.line(key), key, message)
}

// line finds the line of a key, or of its nearest parent that is in the file.
func (c *checker) line(key string) int {
	for path := key; path != ""; path = parent(path) {
		p, err := yaml.PathString("$." + path)
		if err != nil {
			continue
		}
		if node, err := p.ReadNode(bytes.NewReader(c.data)); err == nil && node != nil {
			return node.GetToken().Position.Line
		}
	}
	return 1
}

var lastPart = regexp.MustCompile(`(\.[^.\[]+|\[\d+\]|^[^.\[]+)$`)

func parent(path string) string {
	return lastPart.ReplaceAllString(path, "")
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

func (c *checker) entry(e *Entry) {
	c.want(namePattern.MatchString(e.Instance), "instance", "must match %s, is %q", namePattern, e.Instance)
	c.want(namePattern.MatchString(string(e.Zone)), "zone", "must match %s, is %q", namePattern, e.Zone)
	c.address("listen.caller", e.Listen.Caller)
	c.address("listen.peer", e.Listen.Peer)
	c.address("listen.admin", e.Listen.Admin)
	c.url("platform.log", e.Platform.Log)
	c.url("platform.directory", e.Platform.Directory)
	c.url("platform.ratings", e.Platform.Ratings)
	for i, peer := range e.BootstrapPeers {
		c.address(fmt.Sprintf("peers[%d]", i), peer)
	}
	c.keys(&e.Keys)
	inRange := e.ClaimPartitions >= 1 && e.ClaimPartitions <= maxClaimPartitions
	c.want(inRange, "claim-partitions", "must be between 1 and %d, is %d", maxClaimPartitions, e.ClaimPartitions)
	c.want(e.DrainTimeout > 0 && e.DrainTimeout <= clock.Hour, "drain-ms", "must be between 1 and %d, is %d", clock.Hour, e.DrainTimeout)
	switch e.LogLevel {
	case "trace", "debug", "info", "warn", "error":
	default:
		c.want(false, "log-level", "must be trace, debug, info, warn or error, is %q", e.LogLevel)
	}
}

func (c *checker) address(key, value string) {
	address, err := netip.ParseAddrPort(value)
	c.want(err == nil && address.Port() != 0, key, "must be an IP address and port, is %q", value)
}

func (c *checker) url(key, value string) {
	u, err := url.Parse(value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.want(ok, key, "must be an http or https URL, is %q", value)
}

func (c *checker) secret(key, value string) {
	c.want(len(value) >= minSecretBytes, key, "must have at least %d characters", minSecretBytes)
}

func (c *checker) keys(k *Keys) {
	c.secret("keys.peer", k.Peer)
	seen := map[string]bool{}
	for i, caller := range k.Callers {
		at := fmt.Sprintf("keys.callers[%d]", i)
		c.want(namePattern.MatchString(string(caller.Workspace)), at+".workspace", "must match %s", namePattern)
		c.secret(at+".key", caller.Key)
		c.want(!seen[caller.Key], at+".key", "stands twice")
		seen[caller.Key] = true
	}
	for i, operator := range k.Operators {
		at := fmt.Sprintf("keys.operators[%d]", i)
		c.want(namePattern.MatchString(operator.Name), at+".name", "must match %s", namePattern)
		c.secret(at+".key", operator.Key)
	}
	c.want(len(k.Sessions) > 0, "keys.sessions", "needs at least one key")
	ids := map[string]bool{}
	for i, session := range k.Sessions {
		at := fmt.Sprintf("keys.sessions[%d]", i)
		c.want(namePattern.MatchString(session.ID), at+".id", "must match %s", namePattern)
		c.want(!ids[session.ID], at+".id", "stands twice")
		ids[session.ID] = true
		c.secret(at+".secret", session.Secret)
	}
}
