package routing

import (
	"foxtailbridge/policy/ticket"
)

// Reason explains a decision in a log line.
type Reason string

// Reasons why an endpoint may not get a request.
const (
	Permitted              Reason = "permitted"
	ReasonNoWorkspace      Reason = "workspace-removed"
	ReasonNotAllowed       Reason = "version-not-allowed"
	ReasonWithdrawn        Reason = "version-withdrawn"
	ReasonServiceClosed    Reason = "service-not-permitted"
	ReasonNoCall           Reason = "call-not-declared"
	ReasonZoneOut          Reason = "zone-out"
	ReasonLeaving          Reason = "endpoint-leaving"
	ReasonStaleView        Reason = "view-stale"
	ReasonWrongVersion     Reason = "serves-other"
	ReasonCold             Reason = "endpoint-cold"
	ReasonDown             Reason = "endpoint-down"
	ReasonFull             Reason = "endpoint-full"
	ReasonNoEndpoint       Reason = "no-endpoint"
	ReasonTriedBefore      Reason = "tried-before"
	ReasonEjected          Reason = "endpoint-ejected"
	ReasonRolloutStopped   Reason = "roll-out-stopped"
	ReasonUnknownVersion   Reason = "version-unknown"
	ReasonUnknownWorkspace Reason = "workspace-unknown"
)

// Target is what a request asks for: a model version or a service call.
type Target struct {
	Version ticket.VersionRef
	Service ticket.ServiceName
	Call    string
}

// Serves returns the version or the service name, as endpoints advertise it.
func (t Target) Serves() Serves {
	if t.Service != "" {
		return Serves(t.Service)
	}
	return Serves(t.Version)
}

// Serves names what an endpoint offers: a version reference or a service name.
type Serves string

// PermitTarget reports whether the workspace may use the target under the configuration.
func PermitTarget(view *ticket.View, workspace ticket.WorkspaceName, target Target) Reason {
	w := view.Workspaces[workspace]
	switch {
	case w == nil:
		return ReasonUnknownWorkspace
	case w.State != ticket.LifecycleActive:
		return ReasonNoWorkspace
	case target.Service != "":
		return permitService(view, workspace, target)
	case !w.Allows(target.Version):
		return ReasonNotAllowed
	case view.Versions[target.Version] == nil:
		return ReasonUnknownVersion
	case !view.VersionActive(target.Version):
		return ReasonWithdrawn
	}
	return Permitted
}

func permitService(view *ticket.View, workspace ticket.WorkspaceName, target Target) Reason {
	service := view.Services[target.Service]
	switch {
	case service == nil || !service.Permits(workspace):
		return ReasonServiceClosed
	case service.Call(target.Call) == nil:
		return ReasonNoCall
	}
	return Permitted
}

// Freshness says how well an instance's view of other zones is confirmed.
type Freshness struct {
	// Zone is the instance's own availability zone.
	Zone ticket.ZoneName
	// LogFresh is true while the configuration stream was read to its end recently.
	LogFresh bool
	// ZoneFresh holds the zones in which an instance confirmed the view recently.
	ZoneFresh map[ticket.ZoneName]bool
}

// Confirms reports whether work may go to the zone under this view's age.
func (f *Freshness) Confirms(zone ticket.ZoneName) bool {
	return zone == f.Zone || f.LogFresh || f.ZoneFresh[zone]
}

// PermitDispatch is the one check that precedes every dispatch: it reports
// Permitted or why the workspace's request must not go to the endpoint.
func PermitDispatch(view *ticket.View, fresh *Freshness, workspace ticket.WorkspaceName, target Target, e *Endpoint) Reason {
	if e.Serves != target.Serves() {
		return ReasonWrongVersion
	}
	if reason := PermitTarget(view, workspace, target); reason != Permitted {
		return reason
	}
	switch {
	case !view.ZoneInService(e.Zone):
		return ReasonZoneOut
	case !fresh.Confirms(e.Zone):
		return ReasonStaleView
	case e.Leaving:
		return ReasonLeaving
	}
	return Permitted
}
