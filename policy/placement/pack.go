package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/policy/routing"
)

// Pack asks to concentrate requests on a few endpoints, so that failures that occur only
// under load show there before all traffic depends on the endpoints.
type Pack struct {
	// Key is the rendezvous key by which all instances agree on the endpoints to fill.
	Key string
	// LoadShare is the share of the service's in-flight requests that is expected to be
	// packable.
	LoadShare float64
}

const (
	// packUtilization is the utilization to which packed endpoints are filled: well above
	// highLoadUtilization, where failures under load show, and low enough to avoid queueing.
	packUtilization = 0.7
	// maxPackUtilization is the utilization from which an endpoint gets no more packed
	// requests.
	maxPackUtilization = 0.8
	// maxPackTokens is the maximum number of prompt tokens, weighted by the model's
	// relative cost, of a request that may be packed: long prompts would saturate
	// the endpoint's prefill before its slots.
	maxPackTokens = 2000.0
	// maxPackedEndpoints bounds the number of endpoints to fill. The verdict on a release
	// needs no more, and endpoints that are filled on purpose answer more slowly.
	maxPackedEndpoints = 16
	// fewPackedEndpoints is the number of endpoints up to which the next one is filled when
	// those are full: the requests that arrive before all instances know of it still fit it.
	fewPackedEndpoints = 3
)

// Packable reports whether a request with this prompt may be packed when a model of this
// relative cost runs it.
func Packable(parts []Part, relativeCost float64) bool {
	return relativeCost*float64(Tokens(parts)) <= maxPackTokens
}

// packedEndpoint returns the endpoint to pack the request onto and how many endpoints are
// filled, or nil if the request is not packed. All instances fill the same endpoints. Their
// number follows from the load of the whole fleet and not from how full they look: an
// instance learns of the requests of the others late, and a single endpoint that all
// instances fill until it looks full gets many times its slots.
func (q *Query) packedEndpoint(states []*State, random *rand.Rand) (endpoint *State, filled int) {
	if q.Pack == nil || !Packable(q.Parts, q.RelativeCost) {
		return nil, 0
	}
	ranked, count, share := q.packSet(states)
	if random.Float64() >= share {
		return nil, 0
	}
	if s := q.drawPacked(ranked[:count], random); s != nil || count > fewPackedEndpoints {
		return s, count
	}
	for i, s := range ranked[count:] {
		if q.packRoom(s) > 0 {
			return s, count + i + 1
		}
	}
	return nil, 0
}

// packRoom returns how many more packed requests the endpoint may get.
func (q *Query) packRoom(s *State) float64 {
	if q.check(s) != routing.Permitted {
		return 0
	}
	return max(0, (maxPackUtilization-s.Utilization(q.Now))*float64(s.Endpoint.Slots))
}

// drawPacked returns a random endpoint, weighted by the room for packed requests, or nil if
// there is none.
func (q *Query) drawPacked(states []*State, random *rand.Rand) *State {
	rooms := make([]float64, len(states))
	for i, s := range states {
		rooms[i] = q.packRoom(s)
	}
	if i := drawIndex(rooms, random); i >= 0 {
		return states[i]
	}
	return nil
}

// packSet returns the endpoints in the order in which they are filled, how many of them
// to fill, and the share of the packable requests that takes.
func (q *Query) packSet(states []*State) (list []*State, count int, share float64) {
	key := xxhash.Sum64String(q.Pack.Key)
	load, slots := 0, 0
	weights := map[*State]uint64{}
	for _, s := range states {
		load += s.InFlight(q.Now)
		if !q.Accept(s.Endpoint) || s.Cold(q.Now) || s.absent(q.Now) {
			continue
		}
		slots += s.Endpoint.Slots
		weights[s] = routing.RendezvousWeight(key, string(s.Endpoint.ID))
		list = append(list, s)
	}
	if len(list) == 0 {
		return nil, 0, 0
	}
	slices.SortFunc(list, func(a, b *State) int { return cmp.Compare(weights[b], weights[a]) })
	perEndpoint := packUtilization * float64(max(1, slots)) / float64(len(list))
	needed := max(1, q.Pack.LoadShare*float64(load)/perEndpoint)
	count = min(int(needed), maxPackedEndpoints, len(list))
	return list, count, min(1, maxPackedEndpoints/needed)
}
