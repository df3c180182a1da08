package routing

import (
	"foxtailbridge/policy/ticket"
)

// Reason explains a decision in a log line.
type Reason string

// Reasons why an endpoint may not get a request.
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

// ServedName returns the version or the service name, as endpoints advertise it.
func (t Target) ServedName() ServedName {
	if t.Service != "" {
		return ServedName(t.Service)
	}
	return ServedName(t.Version)
}

// ServedName names what an endpoint offers: a version reference or a service name.
type ServedName string

// CheckTarget reports whether the workspace may use the target under the configuration.
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

// Freshness says how well an instance's view of other zones is confirmed.
type Freshness struct {
	// Zone is the instance's own availability zone.
	Zone ticket.ZoneName
	// ConfigFresh is true while the configuration stream was read to its end recently.
	ConfigFresh bool
	// FreshZones holds the zones in which an instance confirmed the view recently.
	FreshZones map[ticket.ZoneName]bool
}

// AllowsZone reports whether work may go to the zone under this view's age.
func (f *Freshness) AllowsZone(zone ticket.ZoneName) bool {
	return zone == f.Zone || f.ConfigFresh || f.FreshZones[zone]
}

// CheckDispatch is the one check that precedes every dispatch: it reports
// Permitted or why the workspace's request must not go to the endpoint.
func CheckDispatch(view *ticket.View, fresh *Freshness, workspace ticket.WorkspaceName, target Target, e *Endpoint) Reason {
	if e.Serves != target.ServedName() {
		return ReasonServesOther
	}
	if reason := CheckTarget(view, workspace, target); reason != Permitted {
		return reason
	}
	switch {
	case !view.ZoneInService(e.Zone):
		return ReasonZoneOut
	case !fresh.AllowsZone(e.Zone):
		return ReasonViewStale
	case e.Draining:
		return ReasonDraining
	}
	return Permitted
}
