package placement

// Memory holds what a query knows about the memory of engines, which running requests and cached
// prompt parts share. The zero value means that the endpoints' memory is not limited.
type Memory struct {
	// Capacity is the number of tokens that an endpoint's memory holds, or 0 if it is not known.
	Capacity int
	// Tokens is the number of tokens of the request: its prompt and the longest output.
	Tokens int
	// OthersMean is the mean number of tokens of a request in flight, which those of other
	// instances are assumed to have.
	OthersMean float64
}

// acquire counts the request's tokens at an endpoint.
func (m Memory) acquire(s *State) {
	s.OwnTokens += m.Tokens
}

// hasMemory reports whether an endpoint's memory holds the requests that run there and this one.
// Cached parts that no request uses make room. A request beyond the whole memory is taken as one
// that fills it.
func (q *Query) hasMemory(s *State) bool {
	m := q.Memory
	if m.Capacity <= 0 {
		return true
	}
	need := min(m.Tokens, m.Capacity) - s.cachedTokens(sharedParts(q.Parts), q.Model, q.Now)
	running := min(s.InFlight(q.Now), max(s.Endpoint.Slots, s.OwnInFlight))
	others := max(0, running-s.OwnInFlight)
	return float64(s.OwnTokens+need)+m.OthersMean*float64(others) <= float64(m.Capacity)
}

// withMemory returns the options whose memory has room for the request, or all of them if none
// has, and the number of those that have no room.
func (q *Query) withMemory(options []option) (roomy []option, short int) {
	if q.Memory.Capacity <= 0 {
		return options, 0
	}
	roomy = make([]option, 0, len(options))
	for _, o := range options {
		if q.hasMemory(o.state) {
			roomy = append(roomy, o)
		}
	}
	short = len(options) - len(roomy)
	if len(roomy) == 0 {
		roomy = options
	}
	return roomy, short
}

// contains reports whether an endpoint is one of the options.
func contains(options []option, s *State) bool {
	for _, o := range options {
		if o.state == s {
			return true
		}
	}
	return false
}
