package forward

import "foxtailbridge/policy/placement"

// countZone counts an attempt that goes to another zone, and the bytes that it takes there.
func (t *task) countZone(choice placement.Choice) {
	if choice.Endpoint.Zone == t.limits.Load().Zone {
		return
	}
	t.deps.Scope.Counter("other_zone").Inc(1)
	t.deps.Scope.Counter("other_zone_bytes").Inc(int64(len(t.request.Body)))
}
