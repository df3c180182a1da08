package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

const (
	// backlogTTL is how long the backlog that other instances report is valid. Prompts are read
	// within a second or two, so an older one says nothing.
	backlogTTL = 1500 * clock.Millis(1)
	// maxBelievedBacklog bounds the backlog that is believed of one endpoint, in ms of reading. No
	// caller waits longer, and a nonsensical report must not distort the cost level of all others.
	maxBelievedBacklog = 30_000.0
)

// peerBacklog is the number of weighted prompt tokens that other instances report as not yet read
// at an endpoint.
type peerBacklog struct {
	tokens float64
	at     clock.Millis
}

// SetPeerBacklog records the weighted prompt tokens of all other instances' requests that the
// endpoint has yet to read.
func (s *State) SetPeerBacklog(tokens float64, now clock.Millis) {
	s.peerBacklog = peerBacklog{tokens, now}
}

// peerBacklogTokens returns the weighted prompt tokens of other instances that the endpoint has
// yet to read, or 0 if that is not known.
func (s *State) peerBacklogTokens(now clock.Millis) float64 {
	if now-s.peerBacklog.at > backlogTTL {
		return 0
	}
	return s.peerBacklog.tokens
}

// PromptSizes tracks the reading effort of the prompts of one service's requests. It tells
// services whose prompts are alike, where the number of requests at an endpoint says how long its
// prompts take, from those where a few long prompts delay many short ones. The zero value has no
// observations. It is not safe for concurrent use.
type PromptSizes struct {
	mean, meanSquare movingMean
	varied           bool
	// long and short cover the prompts on each side of longRatio, longShare the share of the long.
	long, short, longShare movingMean
	// shortRun is the mean time of a run with a short prompt, in ms.
	shortRun movingMean
	// reading is the share of the endpoints that read long prompts.
	reading   float64
	readingAt clock.Millis
}

// movingMean is the mean of about the last values of a window.
type movingMean struct {
	value float64
	count int
}

// add adds a value to a mean that covers the given number of values.
func (m *movingMean) add(value float64, window int) {
	m.count++
	m.value += (value - m.value) / float64(min(m.count, window))
}

const (
	// sizeWindow is the number of prompts that PromptSizes covers: an instance of a large
	// deployment sees about 10 in a second, and one in 20 may be long. Over 600, LongWork differs
	// by 0.03 between instances, and so do their boundaries of the group, over 2,000 by 0.02.
	sizeWindow = 2000
	// minSizes is the number of prompts from which PromptSizes says anything.
	minSizes = 30
	// variedRatio is the size-biased mean of the prompts relative to their mean from which they
	// count as varied. A request that arrives while a prompt is read finds one of the size-biased
	// mean. It is 1 for equal prompts and 2 for exponentially distributed ones, whose 95th
	// percentile is 3 times the mean. Unlike a percentile, it also finds 1 long prompt in 20.
	variedRatio = 2.0
	// longRatio is the size relative to the mean from which a prompt counts as long.
	longRatio = 2.0
	// alikeRatio is the ratio below which varied prompts count as alike again.
	alikeRatio = 1.7
)

// Add counts a prompt of the given number of weighted tokens. It reports whether this changes what
// Varied returns.
func (p *PromptSizes) Add(tokens float64) (changed bool) {
	p.mean.add(tokens, sizeWindow)
	p.meanSquare.add(tokens*tokens, sizeWindow)
	if tokens >= longRatio*p.mean.value {
		p.long.add(tokens, sizeWindow)
		p.longShare.add(1, sizeWindow)
	} else {
		p.short.add(tokens, sizeWindow)
		p.longShare.add(0, sizeWindow)
	}
	before := p.varied
	if p.mean.count >= minSizes {
		threshold := variedRatio
		if p.varied {
			threshold = alikeRatio
		}
		p.varied = p.Ratio() >= threshold
	}
	return p.varied != before
}

// AddRun counts the time of a run with a prompt of the given number of weighted tokens.
func (p *PromptSizes) AddRun(tokens float64, took clock.Millis) {
	if tokens < longRatio*p.mean.value {
		p.shortRun.add(float64(took), sizeWindow)
	}
}

// Ratio returns the size-biased mean of the prompts relative to their mean, or 0.
func (p *PromptSizes) Ratio() float64 {
	if p.mean.value <= 0 {
		return 0
	}
	return p.meanSquare.value / (p.mean.value * p.mean.value)
}

// Varied reports whether some prompts take much longer to read than others.
func (p *PromptSizes) Varied() bool {
	return p.varied
}

// Mean returns the mean number of weighted tokens of a prompt.
func (p *PromptSizes) Mean() float64 {
	return p.mean.value
}

const (
	// readingRise and readingDecay are the time constants of the share of endpoints that read long
	// prompts. It rises as fast as the reports allow: while the group is too small in a burst, long
	// prompts wait for each other. It falls slowly, to cover some reads.
	readingRise  = loadDelay
	readingDecay = 2 * clock.Second
)

// Mix returns what to know of the prompts to place a request at one of the service's endpoints, or
// nil if prompts are alike.
func (p *PromptSizes) Mix(states []*State, now clock.Millis) *PromptMix {
	if !p.varied {
		p.reading, p.readingAt = 0, now
		return nil
	}
	reading := 0
	for _, s := range states {
		if s.PrefillTokens+s.peerBacklogTokens(now) >= p.long.value/2 {
			reading++
		}
	}
	share := float64(reading) / float64(max(1, len(states)))
	constant := readingDecay
	if share > p.reading {
		constant = readingRise
	}
	p.reading += (share - p.reading) * -math.Expm1(-float64(now-p.readingAt)/float64(constant))
	p.readingAt = now
	return &PromptMix{
		ShortRun: clock.Millis(p.shortRun.value), Short: p.short.value, Long: p.long.value, LongFrom: longRatio * p.mean.value,
		LongShare: p.longShare.value, LongWork: min(1, p.longShare.value*p.long.value/p.mean.value), Reading: p.reading,
	}
}

// PromptMix describes the prompts of a service that differ in length. Numbers of tokens are
// weighted by the relative cost of the model.
type PromptMix struct {
	// Short and Long are the mean numbers of tokens of short and long prompts, and LongFrom is the
	// number from which a prompt is long.
	Short, Long, LongFrom float64
	// LongShare is the share of the requests with a long prompt, and LongWork the share of the
	// reading that these take.
	LongShare, LongWork float64
	// Reading is the recent share of the endpoints that read long prompts.
	Reading float64
	// ShortRun is the mean time of a run with a short prompt, or 0 if it is not known.
	ShortRun clock.Millis
}

const (
	// groupUtilization is the share of its endpoints that the group for long prompts has busy
	// with them while there are enough endpoints. With 0.7, some long prompts wait for four others:
	// an instance learns too late which endpoint of the group is free.
	groupUtilization = 0.6
	// groupMargin is the share of the endpoints on each side of the group's boundary that are used
	// last, as instances that learn at different times disagree about the boundary.
	groupMargin = 0.025
	// groupCost is the cost for a short request to use the group, in reading times of a long prompt:
	// one may be read there, and another one have been sent since the loads were told.
	groupCost = 2.0
	// outsideCost is the cost for a long prompt to leave the group, in its reading times: one that
	// finds two others waiting everywhere may delay short requests.
	outsideCost = 3.0
	// goalShare is the share of a request's goal for the first event that reading may take; the rest
	// is for the way and for prompts that were sent since the loads were told.
	goalShare = 0.65
	// lateCost is the cost of each ms by which reading exceeds goalShare of the goal.
	lateCost = 4.0
)

// groupShare returns the share of the endpoints that long prompts go to first. It follows the
// number of endpoints that read long prompts, and is at most the share at which both groups
// have the same reading to do. The margin is the long prompts' loss, as their goals are longer.
func (m *PromptMix) groupShare() float64 {
	return max(0, min(m.Reading/groupUtilization, m.LongWork-groupMargin))
}

// groupOrder returns the position, from 0 to 1, of each option in the order in which endpoints join
// the group for long prompts. All instances agree on it, and zones take turns.
func groupOrder(options []option) []float64 {
	type member struct {
		option int
		order  float64
	}
	byZone := map[ticket.ZoneName][]member{}
	for i, o := range options {
		weight := float64(routing.RendezvousWeight(longGroupKey, string(o.state.Endpoint.ID))) / math.MaxUint64
		byZone[o.state.Endpoint.Zone] = append(byZone[o.state.Endpoint.Zone], member{i, weight})
	}
	all := make([]member, 0, len(options))
	for _, list := range byZone {
		slices.SortFunc(list, func(a, b member) int { return cmp.Compare(a.order, b.order) })
		for i, m := range list {
			all = append(all, member{m.option, (float64(i) + m.order) / float64(len(list))})
		}
	}
	slices.SortFunc(all, func(a, b member) int { return cmp.Compare(a.order, b.order) })
	positions := make([]float64, len(options))
	for i, m := range all {
		positions[m.option] = float64(i+1) / float64(len(all))
	}
	return positions
}

// longGroupKey is the rendezvous key of the group for long prompts.
var longGroupKey = xxhash.Sum64String("long-prompts")

// unreadTokens returns the weighted tokens of the request's prompt that the endpoint has to read.
func (q *Query) unreadTokens(s *State) float64 {
	return q.RelativeCost * float64(Tokens(q.Parts)-s.cachedTokens(sharedParts(q.Parts), q.Model, q.Now))
}

// long reports whether the request's prompt is long unless parts of it are cached.
func (q *Query) long() bool {
	return q.Prompts != nil && q.RelativeCost*float64(Tokens(q.Parts)) >= q.Prompts.LongFrom
}

// slotRoom returns how far the endpoints of the group for long prompts, and the others, have free
// slots: 1 below overloadUtilization on average, 0 if all are taken. Requests are not kept at
// endpoints without a free slot while the others have some.
func slotRoom(options []option, positions []float64, group float64) (inGroup, others float64) {
	var sums, counts [2]float64
	for i, o := range options {
		side := 0
		if positions[i] > group {
			side = 1
		}
		sums[side] += min(1, o.utilization)
		counts[side]++
	}
	room := func(side int) float64 {
		if counts[side] == 0 {
			return 0
		}
		return min(1, (1-sums[side]/counts[side])/(1-overloadUtilization))
	}
	return room(0), room(1)
}

// addBacklogCosts adds to the options what the prompts that they have to read cost the request and
// others, in ms. Prompts that are alike cost nothing. It returns the number of arrivals among the
// requests of the same kind, long or short, as the others choose other endpoints.
//
// Long prompts go to a group of endpoints first, which short requests use last. All instances
// agree on the order in which endpoints join it, and learn its size from the same reports: short
// requests thus avoid an endpoint before they learn of the long prompts that were sent there since.
func (q *Query) addBacklogCosts(options []option) (arrivals float64) {
	m := q.Prompts
	if m == nil {
		return q.Arrivals
	}
	mean, share := m.Short, 1-m.LongShare
	if m.ShortRun > 0 {
		// Most of the arrivals since the loads were told have ended if runs are shorter than that.
		share *= min(1, float64(m.ShortRun)/float64(loadDelay))
	}
	if q.long() {
		mean, share = m.Long, m.LongShare
	}
	group := m.groupShare()
	var positions []float64
	groupRoom, otherRoom := 0.0, 0.0
	if group > 0 {
		positions = groupOrder(options)
		groupRoom, otherRoom = slotRoom(options, positions, group)
	}
	allowed := goalShare * float64(q.FirstEventGoal)
	for i := range options {
		o := &options[i]
		rate := q.readRate(o.state)
		peers := min(maxBelievedBacklog, o.state.peerBacklogTokens(q.Now)/rate)
		unread := q.unreadTokens(o.state)
		o.fixedCost += peers
		o.costPerArrival = mean / rate
		if allowed > 0 {
			o.fixedCost += lateCost * max(0, peers+(o.state.PrefillTokens+unread)/rate-allowed)
		}
		if group == 0 {
			continue
		}
		longTime, position := m.Long/rate, positions[i]
		o.inGroup = position <= group
		switch long := unread >= m.LongFrom; {
		case long && o.inGroup:
			o.fixedCost += groupRoom * longTime * max(0, 1-(group-position)/groupMargin)
		case long:
			cost := outsideCost * longTime
			if allowed > 0 {
				cost = min(cost, max(longTime, allowed))
			}
			o.fixedCost += groupRoom * cost
		default:
			// How much of its goal the delay would take says how far a request keeps away.
			delay := groupCost * longTime
			if allowed > 0 {
				delay *= min(1, delay/allowed)
			}
			o.fixedCost += otherRoom * delay * min(1, max(0, 1-(position-group)/groupMargin))
		}
	}
	return q.Arrivals * share
}

// PromptChoice says what decided about a request of a service whose prompts differ in length.
type PromptChoice struct {
	// Long is true if the endpoint has a long prompt to read for the request.
	Long bool
	// Placement says where the request went.
	Placement PromptPlacement
	// Backlog is how long the endpoint takes to read the prompts before this one, as far as is known.
	Backlog clock.Millis
	// Group is the number of endpoints in the group for long prompts, of those that were considered.
	Group int
}

// PromptPlacement says where a request went, seen from its prompt.
type PromptPlacement string

// Placements of requests.
const (
	// PromptInGroup means an endpoint of the group for long prompts.
	PromptInGroup PromptPlacement = "group"
	// PromptBeside means any other endpoint.
	PromptBeside PromptPlacement = "beside"
	// PromptLate means an endpoint where reading takes more than goalShare of the request's goal.
	PromptLate PromptPlacement = "late"
)

// describePrompt returns what decided about the request's prompt, or nil if prompts are alike.
func (q *Query) describePrompt(chosen *State, options []option) *PromptChoice {
	if q.Prompts == nil {
		return nil
	}
	rate, unread := q.readRate(chosen), q.unreadTokens(chosen)
	backlog := (chosen.PrefillTokens + chosen.peerBacklogTokens(q.Now)) / rate
	c := &PromptChoice{Long: unread >= q.Prompts.LongFrom, Placement: PromptBeside, Backlog: clock.Millis(backlog)}
	for _, o := range options {
		if o.inGroup {
			if c.Group++; o.state == chosen {
				c.Placement = PromptInGroup
			}
		}
	}
	if q.FirstEventGoal > 0 && backlog+unread/rate > goalShare*float64(q.FirstEventGoal) {
		c.Placement = PromptLate
	}
	return c
}
