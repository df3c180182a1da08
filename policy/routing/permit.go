package routing

import (
	"foxtailbridge/policy/ticket"
)

// Reason is the reason for a routing decision, as written to the log.
type Reason string

// Permitted means that an endpoint may get a request; the other reasons say why
// it may not.
const (
	Permitted                 Reason = "permitted"
	ReasonWorkspaceRemoved    Reason = "workspace-removed"
	ReasonVersionNotAllowed   Reason = "version-not-allowed"
	ReasonVersionWithdrawn    Reason = "version-withdrawn"
	ReasonServiceNotPermitted Reason = "service-not-permitted"
	ReasonCallNotDeclared     Reason = "call-not-declared"
	ReasonZoneOut             Reason = "zone-out"
	ReasonDraining            Reason = "endpoint-leaving"
	ReasonViewStale           Reason = "view-stale"
	ReasonServesOther         Reason = "serves-other"
	ReasonCold                Reason = "endpoint-cold"
	ReasonDown                Reason = "endpoint-down"
	ReasonFull                Reason = "endpoint-full"
	ReasonNoEndpoint          Reason = "no-endpoint"
	ReasonTriedBefore         Reason = "tried-before"
	ReasonEjected             Reason = "endpoint-ejected"
	ReasonRolloutStopped      Reason = "roll-out-stopped"
	ReasonVersionUnknown      Reason = "version-unknown"
	ReasonWorkspaceUnknown    Reason = "workspace-unknown"
)

// Target is what a request asks for: a model version or a service call.
type Target struct {
	Version ticket.VersionRef
	Service ticket.ServiceName
	Call    string
}

// ServedName returns the version or the service name, in the form that endpoints advertise.
func (t Target) ServedName() ServedName {
	if t.Service != "" {
		return ServedName(t.Service)
	}
	return ServedName(t.Version)
}

// ServedName is the name of what an endpoint serves: a version reference or a service name.
type ServedName string

// CheckTarget returns Permitted or the reason why the configuration does not let
// the workspace use the target.
func CheckTarget(view *ticket.View, workspace ticket.WorkspaceName, target Target) Reason {
	w := view.Workspaces[workspace]
	switch {
	case w == nil:
		return ReasonWorkspaceUnknown
	case w.State != ticket.LifecycleActive:
		return ReasonWorkspaceRemoved
	case target.Service != "":
		return permitService(view, workspace, target)
	case !w.Allows(target.Version):
		return ReasonVersionNotAllowed
	case view.Versions[target.Version] == nil:
		return ReasonVersionUnknown
	case !view.VersionActive(target.Version):
		return ReasonVersionWithdrawn
	}
	return Permitted
}

func permitService(view *ticket.View, workspace ticket.WorkspaceName, target Target) Reason {
	service := view.Services[target.Service]
	switch {
	case service == nil || !service.Permits(workspace):
		return ReasonServiceNotPermitted
	case service.Call(target.Call) == nil:
		return ReasonCallNotDeclared
	}
	return Permitted
}

// Freshness describes how recently an instance's view of the zones was confirmed.
type Freshness struct {
	// Zone is the instance's own availability zone.
	Zone ticket.ZoneName
	// ConfigFresh is true if the configuration stream was recently read to its end.
	ConfigFresh bool
	// FreshZones holds the zones in which an instance recently confirmed the view.
	FreshZones map[ticket.ZoneName]bool
}

// AllowsZone reports whether the view is fresh enough to send requests to the zone.
// The instance's own zone is always allowed.
func (f *Freshness) AllowsZone(zone ticket.ZoneName) bool {
	return zone == f.Zone || f.ConfigFresh || f.FreshZones[zone]
}

// CheckDispatch is the check that every dispatch must pass. It returns Permitted
// or the reason why the workspace's request must not go to the endpoint.
func CheckDispatch(view *ticket.View, freshness *Freshness, workspace ticket.WorkspaceName, target Target, e *Endpoint) Reason {
	if e.Serves != target.ServedName() {
		return ReasonServesOther
	}
	if reason := CheckTarget(view, workspace, target); reason != Permitted {
		return reason
	}
	switch {
	case !view.ZoneInService(e.Zone):
		return ReasonZoneOut
	case !freshness.AllowsZone(e.Zone):
		return ReasonViewStale
	case e.Draining:
		return ReasonDraining
	}
	return Permitted
}
