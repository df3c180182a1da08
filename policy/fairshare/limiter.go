package fairshare

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/share"
	"foxtailbridge/policy/ticket"
)

// Limiter limits one service's requests at one instance. It is not safe for concurrent use.
type Limiter struct {
	service ticket.ServiceName
	groups  map[Group]*group
	peers   Rates
	peersAt clock.Millis
	// hasPeers is true once the demand of other instances arrived.
	hasPeers bool
	// nearShortAt is when the service was last nearly short of capacity; valid if reports is true.
	nearShortAt clock.Millis
	reports     bool
	returns     returns
	queue       queue
	polledAt    clock.Millis
}

// group is the demand of one group at this instance.
type group struct {
	requests share.SlidingWindow
	lastAt   clock.Millis
	// timeLeft is the mean time left of the group's requests, in milliseconds.
	timeLeft placement.MovingAverage
	// credit is the number of requests by which the group got less than its share here.
	credit float64
}

// NewLimiter returns a Limiter that has seen no requests.
func NewLimiter(service ticket.ServiceName) *Limiter {
	return &Limiter{service: service, groups: map[Group]*group{}, returns: returns{}}
}

const (
	// window is the time over which demand is counted.
	window = clock.Second
	// peersTTL is how long the demand of other instances is valid.
	peersTTL = 1500 * clock.Millis(1)
	// reportFor is how long demand is told after the service was last nearly short of capacity, so
	// that a surge that comes in bursts finds current data.
	reportFor = 5 * clock.Second
	// groupTTL is how long a group without requests is kept.
	groupTTL = 10 * clock.Second
	// maxReported bounds the groups that an instance tells others of, those with the most requests.
	maxReported = 256
)

// Key returns the key of a group's demand in loadlist.KindDemand.
func (l *Limiter) key(g Group) loadlist.Key {
	return loadlist.Key(string(l.service) + "/" + strconv.Itoa(int(g.Rank)) + "/" + string(g.Workspace))
}

// parse returns the group of a key, and false if the key is another service's or malformed.
func (l *Limiter) parse(key loadlist.Key) (Group, bool) {
	text, ok := strings.CutPrefix(string(key), string(l.service)+"/")
	rank, workspace, found := strings.Cut(text, "/")
	n, err := strconv.Atoi(rank)
	return Group{Workspace: ticket.WorkspaceName(workspace), Rank: catalog.Rank(n)}, ok && found && err == nil
}

// SetPeers records the demand of all other instances.
func (l *Limiter) SetPeers(sum loadlist.Sum, now clock.Millis) {
	l.peers, l.peersAt, l.hasPeers = Rates{}, now, false
	for key, n := range sum {
		if g, ok := l.parse(key); ok {
			l.peers[g] += Rate(n)
			l.hasPeers = true
		}
	}
}

// AddReport adds this instance's demand to what it tells others, if the service was nearly short
// of capacity recently.
func (l *Limiter) AddReport(sum loadlist.Sum, now clock.Millis) {
	l.forgetGroups(now)
	if !l.reports || now-l.nearShortAt > reportFor {
		return
	}
	own := l.ownDemand(now)
	groups := slices.SortedFunc(maps.Keys(own), func(a, b Group) int { return int(own[b] - own[a]) })
	for _, g := range groups[:min(len(groups), maxReported)] {
		sum[l.key(g)] += int(own[g])
	}
}

// forgetGroups deletes the groups that had no requests for groupTTL.
func (l *Limiter) forgetGroups(now clock.Millis) {
	maps.DeleteFunc(l.groups, func(_ Group, g *group) bool { return now-g.lastAt > groupTTL })
}

func (l *Limiter) ownDemand(now clock.Millis) Rates {
	own := Rates{}
	for key, g := range l.groups {
		if n := g.requests.Sum(window, now); n > 0 {
			own[key] = Rate(n)
		}
	}
	return own
}

// Request is a request to a service.
type Request struct {
	Group
	// Content is a hash of what the request asks for, the same if its caller sends it again.
	Content uint64
	// TimeLeft is the time until its deadline.
	TimeLeft clock.Millis
}

// Time is the time of a decision.
type Time struct {
	// Now is the monotonic time of this instance.
	Now clock.Millis
	// Wall is the wall-clock time, which is about the same at all instances.
	Wall clock.Millis
}

// Decision is the outcome for a request.
type Decision struct {
	Admitted bool
	// Short is true if the service is short of capacity. The fields below are set only then.
	Short bool
	// Demand and Share are the group's demand at all known instances and what it gets of it.
	Demand, Share Rate
	// Age is the age of the demand of other instances, or -1 if it is missing or stale.
	Age clock.Millis
}

// Decide counts a request and decides whether it may take capacity. The limit is divided among
// the given number of instances if their demand is not known.
func (l *Limiter) Decide(r Request, c Capacity, instances int, t Time) Decision {
	own := l.count(&r, t.Now)
	if c.nearShort() {
		l.nearShortAt, l.reports = t.Now, true
	}
	if !c.Short() {
		own.credit = 0
		return Decision{Admitted: true, Age: -1}
	}
	demand, capacity, age := l.known(&c, instances, t.Now)
	d := Decision{Short: true, Demand: demand[r.Group], Share: demand[r.Group], Age: age}
	if capacity > 0 {
		d.Share = Allocate(demand, capacity).Share(r.Rank, d.Demand)
	}
	d.Admitted = own.admit(&r, float64(d.Share/d.Demand), t.Wall)
	return d
}

// known returns the known demand, the rate of requests to let in of it, and the age of the other
// instances' demand, or -1 if only this instance's is known.
func (l *Limiter) known(c *Capacity, instances int, now clock.Millis) (demand Rates, capacity Rate, age clock.Millis) {
	demand, capacity = l.ownDemand(now), c.admissible()
	if !l.hasPeers || now-l.peersAt > peersTTL {
		return demand, capacity / Rate(max(1, instances)), -1
	}
	for key, rate := range l.peers {
		demand[key] += rate
	}
	return demand, capacity, now - l.peersAt
}

// count counts a request in its group.
func (l *Limiter) count(r *Request, now clock.Millis) *group {
	g := l.groups[r.Group]
	if g == nil {
		l.forgetGroups(now) // An instance without others makes no reports.
		g = &group{}
		l.groups[r.Group] = g
	}
	g.requests.Add(window, now)
	g.lastAt = now
	g.timeLeft.Add(float64(r.TimeLeft))
	return g
}

const (
	// drawPeriod is how long the outcome for the same content stays the same, so that a caller
	// gains nothing by sending it again at once.
	drawPeriod = 500 * clock.Millis(1)
	// maxCredit bounds by how many requests a group may get more or less than its share at one
	// instance, which happens if many requests have the same content.
	maxCredit = 16
	// minUrgency and maxUrgency bound the effect of the time left. A request with little time gets
	// at most four times as many places as one with much time, down to a share of 0.03.
	minUrgency = 0.8
	maxUrgency = 1.2
)

// admit decides by a draw that is the same at all instances. The ratio is the part of the group's
// demand to let in.
func (g *group) admit(r *Request, ratio float64, wall clock.Millis) bool {
	if ratio >= 1 {
		g.credit = max(0, g.credit)
		return true
	}
	exponent := min(maxUrgency, max(minUrgency, float64(r.TimeLeft)/max(1, g.timeLeft.Mean)))
	admitted := draw(r.Content, wall) < math.Pow(ratio, exponent)
	g.credit = min(maxCredit, g.credit+ratio)
	switch {
	case g.credit >= maxCredit:
		admitted = true
	case g.credit < 1-maxCredit:
		admitted = false
	}
	if admitted {
		g.credit--
	}
	return admitted
}

// draw returns a number from 0 to 1 for a content, another one in each drawPeriod.
func draw(content uint64, wall clock.Millis) float64 {
	period := (wall + phase(content)) / drawPeriod
	hash := xxhash.Sum64String(strconv.FormatUint(content, 16) + "/" + strconv.FormatInt(int64(period), 16))
	return float64(hash>>11) / (1 << 53)
}

// phase spreads the ends of the periods of different contents.
func phase(content uint64) clock.Millis {
	return clock.Millis(content % uint64(drawPeriod))
}
