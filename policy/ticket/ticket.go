package ticket

import (
	"encoding/json"
	"strings"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindSyntax  Kind = "syntax"
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Number is an operator-assigned ticket number; valid numbers start at 1.
type Number int64

// Offset is a position in the platform's append-only log.
type Offset int64

// Names of configuration objects.
type (
	// WorkspaceName identifies a workspace.
	WorkspaceName string
	// ModelName identifies a model regardless of version.
	ModelName string
	// ZoneName identifies an availability zone.
	ZoneName string
	// ServiceName identifies a plain service.
	ServiceName string
	// RolloutName identifies a roll-out.
	RolloutName string
	// Class is a request class, such as "triage" or "audit".
	Class string
)

// VersionRef names one version of a model as "model@version".
type VersionRef string

// Model returns the part before the at sign.
func (r VersionRef) Model() ModelName {
	model, _, _ := strings.Cut(string(r), "@")
	return ModelName(model)
}

// Version returns the part after the at sign, or "" if there is none.
func (r VersionRef) Version() string {
	_, version, _ := strings.Cut(string(r), "@")
	return version
}

// Priority orders workspaces under overload.
type Priority string

// Priorities, from the last to be shed to the first.
const (
	PriorityUrgent     Priority = "urgent"
	PriorityNormal     Priority = "normal"
	PriorityDeferrable Priority = "deferrable"
)

// VersionState says whether a version may get new work.
type VersionState string

// States of a version.
const (
	VersionActive    VersionState = "active"
	VersionWithdrawn VersionState = "withdrawn"
)

// ZoneState says whether an availability zone may get new work.
type ZoneState string

// States of an availability zone.
const (
	ZoneInService    ZoneState = "in"
	ZoneOutOfService ZoneState = "out"
)

// RolloutState says whether a roll-out sends traffic to its new version.
type RolloutState string

// States of a roll-out.
const (
	RolloutRunning RolloutState = "running"
	RolloutStopped RolloutState = "stopped"
	RolloutDone    RolloutState = "done"
)

// LifecycleState says whether a workspace or service is in use.
type LifecycleState string

// States of workspaces and services.
const (
	LifecycleActive  LifecycleState = "active"
	LifecycleRemoved LifecycleState = "removed"
)

// ClassRule lists the cheaper versions that suffice for one request class.
type ClassRule struct {
	Name    Class        `json:"name" yaml:"name"`
	Cheaper []VersionRef `json:"cheaper" yaml:"cheaper"`
}

// Workspace is the whole state of one workspace.
type Workspace struct {
	Name  WorkspaceName  `json:"name" yaml:"name"`
	State LifecycleState `json:"state" yaml:"state"`
	// Allowed lists every version the workspace may use.
	Allowed []VersionRef `json:"allowed" yaml:"allowed"`
	// QualityTarget is the wanted share of answers rated good, 0 to 1.
	QualityTarget float64     `json:"quality-target" yaml:"quality-target"`
	Classes       []ClassRule `json:"classes,omitempty" yaml:"classes"`
	Priority      Priority    `json:"priority" yaml:"priority"`
	// Share is the workspace's weight when capacity is short.
	Share int `json:"share" yaml:"share"`
	// MaxInFlight bounds the workspace's requests in flight on one instance.
	MaxInFlight int `json:"max-in-flight" yaml:"max-in-flight"`
	// Deadline bounds the time until the first token.
	Deadline clock.Millis `json:"deadline-ms" yaml:"deadline-ms"`
	// Escalate permits a second attempt on a better version after a bad rating.
	Escalate bool `json:"escalate,omitempty" yaml:"escalate"`
}

// Allows reports whether the workspace is active and may use ref.
func (w *Workspace) Allows(ref VersionRef) bool {
	if w.State != LifecycleActive {
		return false
	}
	for _, allowed := range w.Allowed {
		if allowed == ref {
			return true
		}
	}
	return false
}

// ModelVersion is the whole state of one version of a model.
type ModelVersion struct {
	Ref   VersionRef   `json:"ref" yaml:"ref"`
	State VersionState `json:"state" yaml:"state"`
	// Cost is the price in micro-euros per 1,000 tokens.
	Cost int64 `json:"cost-micros" yaml:"cost-micros"`
	// Quality is the assumed share of good answers before any rating, 0 to 1.
	Quality float64 `json:"quality" yaml:"quality"`
}

// Rollout moves one model's traffic from one version to another.
type Rollout struct {
	Name  RolloutName  `json:"name" yaml:"name"`
	State RolloutState `json:"state" yaml:"state"`
	From  VersionRef   `json:"from" yaml:"from"`
	To    VersionRef   `json:"to" yaml:"to"`
	// Percent is the largest share of sessions that may get the new version.
	Percent int `json:"percent" yaml:"percent"`
}

// Zone is the whole state of one availability zone.
type Zone struct {
	Name  ZoneName  `json:"name" yaml:"name"`
	State ZoneState `json:"state" yaml:"state"`
}

// Call is one call of a plain service.
type Call struct {
	Name       string `json:"name" yaml:"name"`
	Idempotent bool   `json:"idempotent,omitempty" yaml:"idempotent"`
}

// Service is the whole state of one plain service.
type Service struct {
	Name       ServiceName     `json:"name" yaml:"name"`
	State      LifecycleState  `json:"state" yaml:"state"`
	Workspaces []WorkspaceName `json:"workspaces" yaml:"workspaces"`
	Calls      []Call          `json:"calls" yaml:"calls"`
	// Cost is the price in micro-euros per call.
	Cost int64 `json:"cost-micros" yaml:"cost-micros"`
	// Deadline bounds the time until the answer.
	Deadline clock.Millis `json:"deadline-ms" yaml:"deadline-ms"`
}

// Call returns the named call, or nil if the service does not declare it.
func (s *Service) Call(name string) *Call {
	for i := range s.Calls {
		if s.Calls[i].Name == name {
			return &s.Calls[i]
		}
	}
	return nil
}

// Permits reports whether the service is active and open to the workspace.
func (s *Service) Permits(name WorkspaceName) bool {
	if s.State != LifecycleActive {
		return false
	}
	for _, permitted := range s.Workspaces {
		if permitted == name {
			return true
		}
	}
	return false
}

// Ticket is a numbered change that carries the whole new state of each object it names.
type Ticket struct {
	Number     Number         `json:"ticket" yaml:"ticket"`
	Author     string         `json:"author" yaml:"author"`
	Reason     string         `json:"reason,omitempty" yaml:"reason"`
	Workspaces []Workspace    `json:"workspaces,omitempty" yaml:"workspaces"`
	Versions   []ModelVersion `json:"versions,omitempty" yaml:"versions"`
	Rollouts   []Rollout      `json:"roll-outs,omitempty" yaml:"roll-outs"`
	Zones      []Zone         `json:"zones,omitempty" yaml:"zones"`
	Services   []Service      `json:"services,omitempty" yaml:"services"`
}

// Entries returns the ticket's objects as entries published at the offset.
func (t *Ticket) Entries(at Offset) []Entry {
	var list []Entry
	add := func(kind ObjectKind, name string, body any) {
		data, err := json.Marshal(body)
		if err != nil {
			panic("ticket: objects always marshal: " + err.Error())
		}
		list = append(list, Entry{Kind: kind, Name: name, Number: t.Number, Offset: at, Body: data})
	}
	for i := range t.Workspaces {
		add(ObjectWorkspace, string(t.Workspaces[i].Name), &t.Workspaces[i])
	}
	for i := range t.Versions {
		add(ObjectVersion, string(t.Versions[i].Ref), &t.Versions[i])
	}
	for i := range t.Rollouts {
		add(ObjectRollout, string(t.Rollouts[i].Name), &t.Rollouts[i])
	}
	for i := range t.Zones {
		add(ObjectZone, string(t.Zones[i].Name), &t.Zones[i])
	}
	for i := range t.Services {
		add(ObjectService, string(t.Services[i].Name), &t.Services[i])
	}
	return list
}
